#include "plantainhaven/policy/request/header_hygiene.h"

#include <algorithm>
#include <cctype>

namespace plantainhaven {

namespace {

// Length of an issued key: 256 bits in hexadecimal.
constexpr std::size_t kIssuedKeyLength = 64;
// Number of times that text is percent-decoded in the search for a key, so that a key that
// is encoded twice is found as well.
constexpr int kMaxDecodePasses = 2;

int
HexDigit(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  const char lower = static_cast<char>(aCharacter | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

struct Decoded
{
  std::string text;
  bool valid = true;
};

// Decodes %XX. Invalid escapes are copied unchanged and reported through `valid`.
Decoded
PercentDecoded(std::string_view aText)
{
  Decoded decoded;
  if (aText.find('%') == aText.npos) {
    decoded.text = aText;
    return decoded;
  }
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded.text += aText[i];
      continue;
    }
    const int high = i + 2 < aText.size() ? HexDigit(aText[i + 1]) : -1;
    const int low = i + 2 < aText.size() ? HexDigit(aText[i + 2]) : -1;
    if (high < 0 || low < 0) {
      decoded.valid = false;
      decoded.text += '%';
      continue;
    }
    decoded.text += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return decoded;
}

// Applies `aIsKey` to each run of exactly 64 hexadecimal digits.
bool
HasIssuedKey(std::string_view aText, const KeyPredicate& aIsKey)
{
  std::size_t begin = 0;
  for (std::size_t i = 0; i <= aText.size(); ++i) {
    if (i < aText.size() && HexDigit(aText[i]) >= 0) {
      continue;
    }
    if (i - begin == kIssuedKeyLength && aIsKey(aText.substr(begin, i - begin))) {
      return true;
    }
    begin = i + 1;
  }
  return false;
}

bool
ContainsKey(std::string_view aText, std::string_view aOwnKey, const KeyPredicate& aIsKey)
{
  if (!aOwnKey.empty() && aText.find(aOwnKey) != aText.npos) {
    return true;
  }
  return aText.size() >= kIssuedKeyLength && HasIssuedKey(aText, aIsKey);
}

bool
ContainsEncodedKey(std::string_view aText, std::string_view aOwnKey, const KeyPredicate& aIsKey)
{
  if (ContainsKey(aText, aOwnKey, aIsKey)) {
    return true;
  }
  std::string text(aText);
  for (int i = 0; i < kMaxDecodePasses && text.find('%') != text.npos; ++i) {
    text = PercentDecoded(text).text;
    if (ContainsKey(text, aOwnKey, aIsKey)) {
      return true;
    }
  }
  return false;
}

bool
IsAuthorization(std::string_view aName)
{
  constexpr std::string_view kName = "authorization";
  if (aName.size() != kName.size()) {
    return false;
  }
  for (std::size_t i = 0; i < kName.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(aName[i])) != kName[i]) {
      return false;
    }
  }
  return true;
}

bool
HasDotSegment(std::string_view aPath)
{
  std::size_t begin = 0;
  while (begin <= aPath.size()) {
    const std::size_t end = std::min(aPath.find('/', begin), aPath.size());
    // Some servers strip path parameters, so that "..;x" becomes a dot segment for them.
    const std::string_view segment = aPath.substr(begin, end - begin);
    const std::string_view stripped = segment.substr(0, segment.find(';'));
    if (stripped == "." || stripped == "..") {
      return true;
    }
    begin = end + 1;
  }
  return false;
}

bool
HasControlCharacter(std::string_view aText)
{
  for (const unsigned char character : aText) {
    if (character < 0x20 || character == 0x7f) {
      return true;
    }
  }
  return false;
}

// Fast path for most targets: returns true when the target has only characters that all
// servers interpret alike, no empty segment and no segment that begins with a dot.
bool
IsPlainTarget(std::string_view aTarget)
{
  char previous = 0;
  for (const char character : aTarget) {
    const bool plain =
      (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
      (character >= 'A' && character <= 'Z') || character == '-' || character == '_' ||
      character == '=' || character == '&' || character == '?' ||
      (character == '/' && previous != '/') || (character == '.' && previous != '/');
    if (!plain) {
      return false;
    }
    previous = character;
  }
  return aTarget.starts_with('/');
}

Error
BadPath(std::string aMessage)
{
  return { ErrorKind::kInvalid,
           std::move(aMessage),
           "Send a plain path that begins with / and has no dot segments." };
}

} // namespace

Result<std::string>
ReadPath(std::string_view aTarget)
{
  const std::string_view raw = aTarget.substr(0, aTarget.find_first_of("?#"));
  if (IsPlainTarget(aTarget)) {
    return std::string(raw);
  }
  if (!raw.starts_with('/')) {
    return BadPath("The path doesn't begin with /.");
  }
  if (HasControlCharacter(aTarget) || aTarget.find(' ') != aTarget.npos) {
    return BadPath("The request target holds a blank or a control character.");
  }
  Decoded decoded = PercentDecoded(raw);
  if (!decoded.valid || HasControlCharacter(decoded.text)) {
    return BadPath("The path holds a bad escape.");
  }
  const auto slashes = [](std::string_view aText) {
    return std::count(aText.begin(), aText.end(), '/');
  };
  if (slashes(decoded.text) != slashes(raw) || decoded.text.find('\\') != std::string::npos) {
    return BadPath("The path holds an encoded slash or a backslash.");
  }
  if (HasDotSegment(decoded.text) || decoded.text.find("//") != std::string::npos ||
      decoded.text.find('%') != std::string::npos) {
    return BadPath("The path holds a dot segment, an empty segment or a doubled escape.");
  }
  return std::move(decoded.text);
}

bool
HasKeyOutsideAuthorization(const HttpRequest& aRequest,
                           std::string_view aOwnKey,
                           const KeyPredicate& aIsKey)
{
  if (ContainsEncodedKey(aRequest.target, aOwnKey, aIsKey)) {
    return true;
  }
  for (const HttpHeader& header : aRequest.headers.All()) {
    if (IsAuthorization(header.name)) {
      continue;
    }
    if (ContainsKey(header.name, aOwnKey, aIsKey) ||
        ContainsEncodedKey(header.value, aOwnKey, aIsKey)) {
      return true;
    }
  }
  return ContainsEncodedKey(aRequest.body, aOwnKey, aIsKey);
}

} // namespace plantainhaven
