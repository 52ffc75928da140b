#include "plantainhaven/policy/request/header_hygiene.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace plantainhaven {

namespace {

constexpr std::string_view kModulePrefix = "plantainhaven-";

constexpr std::array<std::string_view, 13> kHopByHop = {
  "connection",
  "te",
  "trailer",
  "trailers",
  "transfer-encoding",
  "upgrade",
  "keep-alive",
  "expect",
  "content-length",
  "host",
  "proxy-authorization",
  "proxy-connection",
  "http2-settings",
};

// Names by which servers commonly take the account of a caller.
constexpr std::array<std::string_view, 14> kAccountNames = {
  "account",
  "x-account",
  "account-id",
  "x-account-id",
  "client-account",
  "x-client-account",
  "client-account-id",
  "x-client-account-id",
  "tenant",
  "x-tenant",
  "tenant-id",
  "x-tenant-id",
  "x-authenticated-user",
  "x-remote-user",
};

// Lower case, with '_' as '-': many servers treat the two alike.
std::string
Normalised(std::string_view aName)
{
  std::string name(aName);
  for (char& letter : name) {
    letter =
      letter == '_' ? '-' : static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return name;
}

template<typename Names>
bool
Contains(const Names& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

bool
IsHopByHop(std::string_view aName)
{
  return Contains(kHopByHop, aName) || aName.starts_with("proxy-");
}

bool
IsToken(std::string_view aName)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), [&](unsigned char aLetter) {
    return std::isalnum(aLetter) != 0 || kMarks.find(static_cast<char>(aLetter)) != kMarks.npos;
  });
}

bool
IsFieldValue(std::string_view aValue)
{
  return std::all_of(aValue.begin(), aValue.end(), [](unsigned char aLetter) {
    return aLetter == '\t' || (aLetter >= 0x20 && aLetter != 0x7f);
  });
}

std::string_view
Trimmed(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

// Names listed in Connection fields, which concern this connection only.
std::vector<std::string>
NamedByConnection(const std::vector<HttpHeader>& aHeaders)
{
  std::vector<std::string> names;
  for (const HttpHeader& header : aHeaders) {
    if (Normalised(header.name) != "connection") {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      names.push_back(Normalised(Trimmed(rest.substr(0, comma))));
      rest = comma == rest.npos ? std::string_view() : rest.substr(comma + 1);
    }
  }
  return names;
}

Error
Invalid(std::string aMessage, std::string aRemedy)
{
  return { ErrorKind::kInvalid, std::move(aMessage), std::move(aRemedy) };
}

} // namespace

Result<std::optional<std::string>>
ReadCallerKey(const std::vector<HttpHeader>& aHeaders)
{
  const HttpHeader* found = nullptr;
  for (const HttpHeader& header : aHeaders) {
    if (Normalised(Trimmed(header.name)) != "authorization") {
      continue;
    }
    if (found != nullptr) {
      return Invalid("Expected one Authorization header, found several.", "Send just one.");
    }
    found = &header;
  }
  if (found == nullptr) {
    return std::optional<std::string>();
  }
  constexpr std::string_view kScheme = "bearer";
  const std::string_view value = Trimmed(found->value);
  const std::size_t blank = value.find(' ');
  const std::string_view key = blank == value.npos ? "" : Trimmed(value.substr(blank));
  const bool isKey = !key.empty() && key.find_first_of(" \t,") == key.npos;
  if (Normalised(value.substr(0, blank)) != kScheme || !isKey) {
    return Invalid("The Authorization header isn't of the form Bearer KEY.",
                   "Send Authorization: Bearer KEY.");
  }
  return std::optional<std::string>(key);
}

Result<std::vector<HttpHeader>>
HeadersForServer(const std::vector<HttpHeader>& aHeaders, const ForwardedIdentity& aIdentity)
{
  const std::vector<std::string> connectionNames = NamedByConnection(aHeaders);
  std::vector<HttpHeader> kept;
  kept.reserve(aHeaders.size() + 3);
  for (const HttpHeader& header : aHeaders) {
    if (!IsToken(header.name) || !IsFieldValue(header.value)) {
      return Invalid("A header has a malformed name or value.", "Send well-formed headers.");
    }
    const std::string name = Normalised(header.name);
    const bool dropped = name == "authorization" || name.starts_with(kModulePrefix) ||
                         IsHopByHop(name) || Contains(kAccountNames, name) ||
                         Contains(connectionNames, name);
    if (!dropped) {
      kept.push_back(header);
    }
  }
  if (!aIdentity.account.empty()) {
    kept.push_back({ "Plantainhaven-Account", aIdentity.account });
  }
  kept.push_back({ "Plantainhaven-Request-Id", aIdentity.requestId });
  kept.push_back({ "Plantainhaven-Deadline-Ms", std::to_string(aIdentity.deadline.count()) });
  return kept;
}

std::vector<HttpHeader>
HeadersForCaller(const std::vector<HttpHeader>& aHeaders)
{
  const std::vector<std::string> connectionNames = NamedByConnection(aHeaders);
  std::vector<HttpHeader> kept;
  for (const HttpHeader& header : aHeaders) {
    const std::string name = Normalised(header.name);
    if (!IsHopByHop(name) && !name.starts_with(kModulePrefix) && !Contains(connectionNames, name)) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace plantainhaven
