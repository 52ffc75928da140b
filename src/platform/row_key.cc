#include "platform/row_key.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace plantainhaven {

namespace {

// One form of a UTF-8 sequence: its lead byte, length and smallest code point.
struct SequenceForm
{
  std::uint8_t mask;
  std::uint8_t lead;
  std::size_t length;
  std::uint32_t smallest;
};

constexpr SequenceForm kForms[] = {
  { 0x80, 0x00, 1, 0x0 },
  { 0xE0, 0xC0, 2, 0x80 },
  { 0xF0, 0xE0, 3, 0x800 },
  { 0xF8, 0xF0, 4, 0x10000 },
};
constexpr std::uint32_t kFirstSurrogate = 0xD800;
constexpr std::uint32_t kLastSurrogate = 0xDFFF;
constexpr std::uint32_t kLastCodePoint = 0x10FFFF;

bool
IsCodePoint(std::uint32_t aValue, const SequenceForm& aForm) noexcept
{
  const bool surrogate = aValue >= kFirstSurrogate && aValue <= kLastSurrogate;
  return aValue >= aForm.smallest && aValue <= kLastCodePoint && !surrogate;
}

// Length of the sequence at the front of the text, 0 when it is malformed.
std::size_t
SequenceLength(std::string_view aText) noexcept
{
  const auto lead = static_cast<std::uint8_t>(aText.front());
  for (const SequenceForm& form : kForms) {
    if ((lead & form.mask) != form.lead || aText.size() < form.length) {
      continue;
    }
    std::uint32_t value = lead & static_cast<std::uint8_t>(~form.mask);
    for (std::size_t i = 1; i < form.length; ++i) {
      const auto next = static_cast<std::uint8_t>(aText[i]);
      if ((next & 0xC0U) != 0x80U) {
        return 0;
      }
      value = (value << 6U) | (next & 0x3FU);
    }
    return IsCodePoint(value, form) ? form.length : 0;
  }
  return 0;
}

Error
BadKey(const std::string& aField, const std::string& aActual)
{
  return Error{ ErrorKind::kInvalid,
                aField + ": expected 1 to " + std::to_string(kMaxKeyBytes) +
                  " bytes of UTF-8, got " + aActual,
                "use a shorter name in UTF-8",
                aField };
}

Error
WrittenTwice(const std::string& aKey)
{
  return Error{ ErrorKind::kInvalid,
                "expected one write of each key, got two of \"" + aKey + "\"",
                "put or delete each key once in a transaction",
                "puts" };
}

Result<Done>
CheckWrite(const std::string& aKey, const std::string& aField, std::set<std::string>& aWritten)
{
  Result<Done> result = CheckKey(aKey, aField);
  if (IsOk(result) && !aWritten.insert(aKey).second) {
    return WrittenTwice(aKey);
  }
  return result;
}

} // namespace

bool
IsUtf8(std::string_view aText) noexcept
{
  while (!aText.empty()) {
    const std::size_t length = SequenceLength(aText);
    if (length == 0) {
      return false;
    }
    aText.remove_prefix(length);
  }
  return true;
}

Result<Done>
CheckKey(std::string_view aKey, const std::string& aField)
{
  if (aKey.empty()) {
    return BadKey(aField, "none");
  }
  if (aKey.size() > kMaxKeyBytes) {
    return BadKey(aField, std::to_string(aKey.size()) + " bytes");
  }
  if (!IsUtf8(aKey)) {
    return BadKey(aField, "other bytes");
  }
  return Done{};
}

Result<Done>
CheckTransaction(const TableTransaction& aTransaction)
{
  std::set<std::string> written;
  for (const TableCondition& condition : aTransaction.conditions()) {
    if (Result<Done> result = CheckKey(condition.key(), "conditions.key"); !IsOk(result)) {
      return result;
    }
  }
  for (const TableRow& row : aTransaction.puts()) {
    if (Result<Done> result = CheckWrite(row.key(), "puts.key", written); !IsOk(result)) {
      return result;
    }
  }
  for (const std::string& key : aTransaction.deletes()) {
    if (Result<Done> result = CheckWrite(key, "deletes", written); !IsOk(result)) {
      return result;
    }
  }
  return Done{};
}

} // namespace plantainhaven
