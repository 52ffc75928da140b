#include "plantainhaven/policy/response/response_rules.h"

namespace plantainhaven {
namespace {

// The classes of status codes (RFC 9110, section 15).
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool
HasNoBody(const ResponseFacts& aFacts)
{
  return aFacts.isToHead || aFacts.status < kFirstFinalStatus || aFacts.status == kNoContent ||
         aFacts.status == kNotModified;
}

} // namespace

std::variant<Framing, ResponseFault>
FramingOf(const ResponseFacts& aFacts)
{
  if (aFacts.status < kFirstStatus || aFacts.status > kLastStatus) {
    return ResponseFault::kStatus;
  }
  if (HasNoBody(aFacts)) {
    return Framing::kNone;
  }
  if (!aFacts.transferCodings.empty()) {
    return Framing::kChunked;
  }
  return aFacts.lengths > 0 ? Framing::kLength : Framing::kUntilClose;
}

bool
IsWhole(Framing aFraming, bool isComplete, ConnectionEnd aEnd)
{
  return isComplete && (aFraming != Framing::kUntilClose || aEnd == ConnectionEnd::kOrderly);
}

} // namespace plantainhaven
