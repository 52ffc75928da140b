#include "edge/forwarding.h"

#include "plantainhaven/common/digest.h"
#include "platform/names.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace plantainhaven::edge {
namespace {

// Hexadecimal digits of a request's digest.
constexpr std::size_t kDigestLength = 32;

constexpr std::array<std::string_view, 10> kHopByHopFields{
  "connection",          "expect", "keep-alive", "proxy-connection",  "proxy-authenticate",
  "proxy-authorization", "te",     "trailer",    "transfer-encoding", "upgrade"
};

bool
IsStandardHopByHop(beast::string_view aName)
{
  return std::any_of(
    kHopByHopFields.begin(), kHopByHopFields.end(), [aName](std::string_view aField) {
      return beast::iequals(aName, beast::string_view(aField.data(), aField.size()));
    });
}

// True when the Connection field lists the field.
bool
IsNamedByConnection(const http::fields& aFields, beast::string_view aName)
{
  const auto named = http::token_list(aFields[http::field::connection]);
  return std::any_of(named.begin(), named.end(), [aName](const auto& aToken) {
    return beast::iequals(aToken, aName);
  });
}

// Fields that this module sets itself, and the caller's key, which must not reach a backend server.
constexpr std::array<const char*, 4> kReservedFields{ platform::kAccountHeader,
                                                      platform::kTargetHeader,
                                                      platform::kDeadlineHeader,
                                                      "Authorization" };

// The request line and the end-to-end fields of a request.
ServerRequestHead
EndToEndHead(const CallerRequest& aRequest)
{
  ServerRequestHead head;
  head.version(11);
  head.method_string(aRequest.method_string());
  head.target(aRequest.target());
  for (const auto& field : aRequest) {
    if (!IsHopByHop(aRequest, field.name_string())) {
      head.insert(field.name_string(), field.value());
    }
  }
  return head;
}

} // namespace

std::optional<std::int64_t>
ParseInteger(beast::string_view aText)
{
  std::int64_t value = 0;
  const auto [rest, fault] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (fault != std::errc() || rest != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

std::string
FormatSeconds(std::chrono::milliseconds aTime)
{
  const std::string fraction = std::to_string(1000 + aTime.count() % 1000).substr(1);
  return std::to_string(aTime.count() / 1000) + "." + fraction;
}

std::string
NormalizeHost(beast::string_view aText)
{
  std::string host(ToStd(aText.substr(0, aText.find(':'))));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return host;
}

bool
IsHopByHop(const http::fields& aFields, beast::string_view aName)
{
  return IsStandardHopByHop(aName) || IsNamedByConnection(aFields, aName);
}

ServerRequestHead
ForwardedHead(const CallerRequest& aRequest,
              const BackendServer& aServer,
              const Account* aAccount,
              std::chrono::milliseconds aLeft)
{
  ServerRequestHead head = EndToEndHead(aRequest);
  for (const char* const field : kReservedFields) {
    head.erase(field);
  }
  head.set(platform::kDeadlineHeader, std::to_string(aLeft.count()));
  head.set(platform::kTargetHeader, aServer.id);
  if (aAccount != nullptr) {
    head.set(platform::kAccountHeader, aAccount->name);
  }
  return head;
}

placing::RequestDigest
DigestOf(const CallerRequest& aRequest, std::string_view aAccount, std::string_view aBody)
{
  const std::string host = NormalizeHost(aRequest[http::field::host]);
  std::string text;
  for (const std::string_view part : { aAccount,
                                       ToStd(aRequest.method_string()),
                                       std::string_view(host),
                                       ToStd(aRequest.target()),
                                       ToStd(aRequest[platform::kAffinityKeyHeader]),
                                       aBody.substr(0, CallerBody::kMaxBufferedBytes) }) {
    text += std::to_string(part.size()) + ":";
    text += part;
  }
  return Sha256Hex(text).substr(0, kDigestLength);
}

ServerRequestHead
RelayedHead(const CallerRequest& aRequest, std::chrono::milliseconds aLeft)
{
  ServerRequestHead head = EndToEndHead(aRequest);
  head.set(platform::kDeadlineHeader, std::to_string(aLeft.count()));
  return head;
}

} // namespace plantainhaven::edge
