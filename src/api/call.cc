#include "api/call.h"

#include "api/answers.h"
#include "plantainhaven/common/digest.h"
#include "plantainhaven/policy/config/validation.h"

#include <algorithm>
#include <charconv>

namespace plantainhaven {

namespace {

constexpr std::size_t kLongestChangeId = 128;

bool
IsIdCharacter(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9') || aByte == '-' || aByte == '_' || aByte == '.';
}

std::string_view
Unquote(std::string_view aText)
{
  const bool quoted = aText.size() >= 2 && aText.front() == '"' && aText.back() == '"';
  return quoted ? aText.substr(1, aText.size() - 2) : aText;
}

} // namespace

std::vector<std::string>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> parts;
  while (!aPath.empty() && aPath.front() == '/') {
    const std::size_t end = std::min(aPath.find('/', 1), aPath.size());
    parts.emplace_back(aPath.substr(1, end - 1));
    aPath.remove_prefix(end);
  }
  return parts;
}

Result<Revision>
ParseRevision(std::string_view aText, const std::string& aField)
{
  Revision value = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  if (error == std::errc{} && stop == end) {
    return value;
  }
  return Error{ ErrorKind::kInvalid,
                aField + " is \"" + std::string(aText) + "\", expected a number",
                "give a number as earlier answers did",
                aField };
}

Result<Revision>
DemandedVersion(const HttpHeaders& aHeaders)
{
  const std::string_view match = aHeaders.Get("If-Match");
  const std::string_view noneMatch = aHeaders.Get("If-None-Match");
  if (!match.empty() && !noneMatch.empty()) {
    return Error{ ErrorKind::kInvalid,
                  "If-Match and If-None-Match are both given, expected one",
                  "send If-Match to change a resource, If-None-Match: * to create one",
                  "If-None-Match" };
  }
  if (!noneMatch.empty() && noneMatch != "*") {
    return Error{ ErrorKind::kInvalid,
                  "If-None-Match is " + std::string(noneMatch) + ", expected *",
                  "send If-None-Match: * to create a resource that doesn't exist yet",
                  "If-None-Match" };
  }
  if (!noneMatch.empty()) {
    return kMustNotExist;
  }
  return match.empty() ? Result<Revision>(Revision{ 0 })
                       : ParseRevision(Unquote(match), "If-Match");
}

Result<std::string>
ChangeIdOf(const HttpHeaders& aHeaders)
{
  const std::string id(aHeaders.Get(kChangeIdHeader));
  if (id.empty()) {
    return RandomId();
  }
  if (id.size() <= kLongestChangeId && std::all_of(id.begin(), id.end(), IsIdCharacter)) {
    return id;
  }
  return Error{ ErrorKind::kInvalid,
                std::string(kChangeIdHeader) +
                  " isn't 1 to 128 characters of a-z, A-Z, 0-9, '-', '_' and '.'",
                "choose a random id for each write, for example 32 hexadecimal digits",
                kChangeIdHeader };
}

} // namespace plantainhaven
