#include "plantainhaven/policy/request/header_hygiene.h"

#include <algorithm>
#include <array>

namespace plantainhaven {

namespace {

// Prefix of the headers that only this system sets.
constexpr std::string_view kModulePrefix = "plantainhaven-";

constexpr std::array<std::string_view, 13> kHopByHopHeaders = {
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

// Headers from which backend servers commonly read the caller's account. A caller could
// use them to impersonate another account.
constexpr std::array<std::string_view, 14> kAccountHeaders = {
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

// Converts to lower case and '_' to '-', because many servers treat these as equal.
char
Normalised(char aCharacter)
{
  if (aCharacter == '_') {
    return '-';
  }
  return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter | 0x20) : aCharacter;
}

// Compares a name with one that is already normalised, without copying.
bool
EqualsNormalised(std::string_view aName, std::string_view aNormalised)
{
  return aName.size() == aNormalised.size() &&
         std::equal(aName.begin(), aName.end(), aNormalised.begin(), [](char aLeft, char aRight) {
           return Normalised(aLeft) == aRight;
         });
}

bool
HasPrefix(std::string_view aName, std::string_view aNormalised)
{
  return EqualsNormalised(aName.substr(0, aNormalised.size()), aNormalised);
}

template<typename Names>
bool
IsOneOf(std::string_view aName, const Names& aNormalised)
{
  return std::any_of(aNormalised.begin(), aNormalised.end(), [&](std::string_view aOther) {
    return EqualsNormalised(aName, aOther);
  });
}

bool
IsHopByHop(std::string_view aName)
{
  return IsOneOf(aName, kHopByHopHeaders) || HasPrefix(aName, "proxy-");
}

constexpr std::array<bool, 256>
TokenCharacters()
{
  std::array<bool, 256> allowed{};
  for (const char symbol : std::string_view("!#$%&'*+-.^_`|~0123456789")) {
    allowed[static_cast<unsigned char>(symbol)] = true;
  }
  for (char character = 'a'; character <= 'z'; ++character) {
    allowed[static_cast<unsigned char>(character)] = true;
    allowed[static_cast<unsigned char>(character - 'a' + 'A')] = true;
  }
  return allowed;
}

bool
IsToken(std::string_view aName)
{
  static constexpr std::array<bool, 256> kTokenCharacters = TokenCharacters();
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), [](unsigned char aCharacter) {
    return kTokenCharacters[aCharacter];
  });
}

bool
IsFieldValue(std::string_view aValue)
{
  return std::all_of(aValue.begin(), aValue.end(), [](unsigned char aCharacter) {
    return aCharacter == '\t' || (aCharacter >= 0x20 && aCharacter != 0x7f);
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

// Header names listed in Connection headers. Those headers apply to one hop only.
std::vector<std::string>
ConnectionOptions(const std::vector<HttpHeader>& aHeaders)
{
  std::vector<std::string> names;
  for (const HttpHeader& header : aHeaders) {
    if (!EqualsNormalised(header.name, "connection")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      std::string name(Trimmed(rest.substr(0, comma)));
      std::transform(name.begin(), name.end(), name.begin(), [](char aCharacter) {
        return Normalised(aCharacter);
      });
      names.push_back(std::move(name));
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
    if (!EqualsNormalised(Trimmed(header.name), "authorization")) {
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
  const std::size_t space = value.find(' ');
  const std::string_view key = space == value.npos ? "" : Trimmed(value.substr(space));
  const bool isKey = !key.empty() && key.find_first_of(" \t,") == key.npos;
  if (!EqualsNormalised(value.substr(0, space), kScheme) || !isKey) {
    return Invalid("The Authorization header isn't of the form Bearer KEY.",
                   "Send Authorization: Bearer KEY.");
  }
  return std::optional<std::string>(key);
}

Result<std::vector<HttpHeader>>
HeadersForServer(const std::vector<HttpHeader>& aHeaders, const ForwardedIdentity& aIdentity)
{
  const std::vector<std::string> connectionOptions = ConnectionOptions(aHeaders);
  std::vector<HttpHeader> kept;
  kept.reserve(aHeaders.size() + 3);
  for (const HttpHeader& header : aHeaders) {
    if (!IsToken(header.name) || !IsFieldValue(header.value)) {
      return Invalid("A header has a malformed name or value.", "Send well-formed headers.");
    }
    const bool dropped = EqualsNormalised(header.name, "authorization") ||
                         HasPrefix(header.name, kModulePrefix) || IsHopByHop(header.name) ||
                         IsOneOf(header.name, kAccountHeaders) ||
                         IsOneOf(header.name, connectionOptions);
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
  const std::vector<std::string> connectionOptions = ConnectionOptions(aHeaders);
  std::vector<HttpHeader> kept;
  for (const HttpHeader& header : aHeaders) {
    if (!IsHopByHop(header.name) && !HasPrefix(header.name, kModulePrefix) &&
        !IsOneOf(header.name, connectionOptions)) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace plantainhaven
