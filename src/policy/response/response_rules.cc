#include "plantainhaven/policy/response/response_rules.h"

#include <boost/algorithm/string/predicate.hpp>

namespace plantainhaven {
namespace {

// The classes of status codes (RFC 9110, section 15).
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool
IsStatusWithBody(int aStatus)
{
  return aStatus >= kFirstFinalStatus && aStatus != kNoContent && aStatus != kNotModified;
}

bool
IsChunked(const ResponseFacts& aFacts)
{
  return aFacts.transferCodings.size() == 1 &&
         boost::algorithm::iequals(aFacts.transferCodings.front(), "chunked");
}

} // namespace

std::variant<Framing, ResponseFault>
FramingOf(const ResponseFacts& aFacts)
{
  if (aFacts.status < kFirstStatus || aFacts.status > kLastStatus) {
    return ResponseFault::kStatus;
  }
  if (aFacts.isToHead || !IsStatusWithBody(aFacts.status)) {
    return Framing::kNone;
  }
  if (!aFacts.transferCodings.empty()) {
    const bool isSound = IsChunked(aFacts) && aFacts.lengths == 0 && !aFacts.isHttp10;
    return isSound ? std::variant<Framing, ResponseFault>(Framing::kChunked)
                   : ResponseFault::kTransferCoding;
  }
  return aFacts.lengths > 0 ? Framing::kLength : Framing::kUntilClose;
}

bool
MayHaveBody(int aStatus, std::string_view aMethod)
{
  return IsStatusWithBody(aStatus) && !aMethod.empty() && aMethod != "HEAD";
}

bool
HasFoldedLine(std::string_view aHead)
{
  return aHead.find("\r\n ") != std::string_view::npos ||
         aHead.find("\r\n\t") != std::string_view::npos;
}

bool
IsWhole(Framing aFraming, bool aIsComplete, ConnectionEnd aEnd)
{
  return aIsComplete && (aFraming != Framing::kUntilClose || aEnd == ConnectionEnd::kOrderly);
}

} // namespace plantainhaven
