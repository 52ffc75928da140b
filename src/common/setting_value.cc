#include "common/setting_value.h"

#include "common/ini.h"
#include "plantainhaven/common/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <limits>
#include <vector>

namespace plantainhaven {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr double kNanosecondsPerSecond = 1e9;
constexpr std::chrono::duration<double> kMaxDuration{ 9e9 };

struct DurationUnit
{
  std::string_view name;
  double seconds;
};

constexpr std::array kDurationUnits = {
  DurationUnit{ "us", 1e-6 }, DurationUnit{ "ms", 1e-3 }, DurationUnit{ "s", 1 },
  DurationUnit{ "min", 60 },  DurationUnit{ "h", 3600 },
};

constexpr std::array<std::string_view, 4> kLogLevels = { "debug", "info", "warning", "error" };
constexpr std::string_view kLogLevelField = "plantainhaven.LogSettings.level";

std::string
FormatNumber(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.12g", aValue);
  return text.data();
}

Error
ExpectedError(const std::string& aExpected, const std::string& aText, const std::string& aRemedy)
{
  return { ErrorKind::kInvalid, "expected " + aExpected + ", found \"" + aText + "\"", aRemedy };
}

template<typename T>
std::optional<T>
ParseNumber(std::string_view aText)
{
  T value{};
  const char* end = aText.data() + aText.size();
  const auto [parsedEnd, errorCode] = std::from_chars(aText.data(), end, value);
  if (errorCode != std::errc{} || parsedEnd != end) {
    return std::nullopt;
  }
  return value;
}

Result<Done>
CheckRange(const FieldDescriptor& aField, double aValue, const std::string& aText)
{
  const Rule& rule = RuleOf(aField);
  if (!std::isfinite(aValue) ||
      (rule.has_range() && (aValue < rule.min() || aValue > rule.max()))) {
    const std::string unit = rule.unit().empty() ? "" : " " + rule.unit();
    return ExpectedError("a value from " + FormatNumber(rule.min()) + " to " +
                           FormatNumber(rule.max()) + unit,
                         aText,
                         "Choose a value within these bounds.");
  }
  return Done{};
}

// A member of Reflection that sets a singular field or appends to a repeated one.
template<typename T>
using Setter = void (google::protobuf::Reflection::*)(Message*, const FieldDescriptor*, T) const;

template<typename T>
Result<Done>
SetNumber(Message& aSection,
          const FieldDescriptor& aField,
          const std::string& aText,
          Setter<T> aSet,
          Setter<T> aAdd)
{
  const std::optional<T> value = ParseNumber<T>(aText);
  if (!value) {
    const bool isIntegral = std::is_integral_v<T>;
    return ExpectedError(isIntegral ? "a whole number" : "a number", aText, "Write digits only.");
  }
  Result<Done> range = CheckRange(aField, static_cast<double>(*value), aText);
  if (IsOk(range)) {
    const auto* reflection = aSection.GetReflection();
    (reflection->*(aField.is_repeated() ? aAdd : aSet))(&aSection, &aField, *value);
  }
  return range;
}

Result<Done>
SetBool(Message& aSection, const FieldDescriptor& aField, const std::string& aText)
{
  if (aText != "true" && aText != "false") {
    return ExpectedError("true or false", aText, "Write true or false.");
  }
  const auto* reflection = aSection.GetReflection();
  if (aField.is_repeated()) {
    reflection->AddBool(&aSection, &aField, aText == "true");
  } else {
    reflection->SetBool(&aSection, &aField, aText == "true");
  }
  return Done{};
}

Result<Done>
SetString(Message& aSection, const FieldDescriptor& aField, const std::string& aText)
{
  if (aField.full_name() == kLogLevelField &&
      std::find(kLogLevels.begin(), kLogLevels.end(), aText) == kLogLevels.end()) {
    return ExpectedError("debug, info, warning or error", aText, "Choose one of these words.");
  }
  const auto* reflection = aSection.GetReflection();
  if (aField.is_repeated()) {
    reflection->AddString(&aSection, &aField, aText);
  } else {
    reflection->SetString(&aSection, &aField, aText);
  }
  return Done{};
}

Result<Done>
SetDuration(Message& aSection, const FieldDescriptor& aField, const std::string& aText)
{
  const auto value = ParseDuration(aText);
  if (!value) {
    return ExpectedError("a duration with a unit",
                         aText,
                         "Write a number and a unit: us, ms, s, min or h, for example 250ms.");
  }
  const double seconds = std::chrono::duration<double>(*value).count();
  Result<Done> range = CheckRange(aField, seconds, aText);
  if (IsOk(range)) {
    const auto* reflection = aSection.GetReflection();
    Message* duration = aField.is_repeated() ? reflection->AddMessage(&aSection, &aField)
                                             : reflection->MutableMessage(&aSection, &aField);
    duration->CopyFrom(FromChrono(*value));
  }
  return range;
}

Result<Done>
SetSingleValue(Message& aSection, const FieldDescriptor& aField, const std::string& aText)
{
  using Reflection = google::protobuf::Reflection;
  switch (aField.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      return SetNumber<std::uint32_t>(
        aSection, aField, aText, &Reflection::SetUInt32, &Reflection::AddUInt32);
    case FieldDescriptor::CPPTYPE_UINT64:
      return SetNumber<std::uint64_t>(
        aSection, aField, aText, &Reflection::SetUInt64, &Reflection::AddUInt64);
    case FieldDescriptor::CPPTYPE_INT32:
      return SetNumber<std::int32_t>(
        aSection, aField, aText, &Reflection::SetInt32, &Reflection::AddInt32);
    case FieldDescriptor::CPPTYPE_INT64:
      return SetNumber<std::int64_t>(
        aSection, aField, aText, &Reflection::SetInt64, &Reflection::AddInt64);
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return SetNumber<double>(
        aSection, aField, aText, &Reflection::SetDouble, &Reflection::AddDouble);
    case FieldDescriptor::CPPTYPE_BOOL:
      return SetBool(aSection, aField, aText);
    case FieldDescriptor::CPPTYPE_STRING:
      return SetString(aSection, aField, aText);
    case FieldDescriptor::CPPTYPE_MESSAGE:
      if (IsDuration(aField)) {
        return SetDuration(aSection, aField, aText);
      }
      break;
    default:
      break;
  }
  return Error{ ErrorKind::kInternal,
                "the schema gives this key a type that INI files don't support",
                "Change the type in the schema." };
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t comma = std::min(aText.find(',', start), aText.size());
    items.push_back(Trim(std::string_view(aText).substr(start, comma - start)));
    start = comma + 1;
  }
  return items;
}

Result<Done>
SetList(Message& aSection, const FieldDescriptor& aField, const std::string& aText)
{
  aSection.GetReflection()->ClearField(&aSection, &aField);
  if (aText.empty()) {
    return Done{};
  }
  for (const std::string& item : SplitList(aText)) {
    if (item.empty()) {
      return ExpectedError("a list without empty items",
                           aText,
                           "Put one comma between two items and none at the end.");
    }
    Result<Done> result = SetSingleValue(aSection, aField, item);
    if (!IsOk(result)) {
      return result;
    }
  }
  return Done{};
}

} // namespace

const Rule&
RuleOf(const FieldDescriptor& aField)
{
  return aField.options().GetExtension(rule);
}

bool
IsDuration(const FieldDescriptor& aField)
{
  return aField.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE &&
         aField.message_type()->full_name() == "google.protobuf.Duration";
}

std::optional<std::chrono::nanoseconds>
ParseDuration(std::string_view aText)
{
  const std::size_t unitStart = aText.find_first_not_of("+-0123456789.");
  if (unitStart == std::string_view::npos) {
    return std::nullopt;
  }
  const auto number = ParseNumber<double>(Trim(aText.substr(0, unitStart)));
  const std::string unitName = Trim(aText.substr(unitStart));
  for (const DurationUnit& unit : kDurationUnits) {
    const std::chrono::duration<double> length(number.value_or(0) * unit.seconds);
    if (unit.name == unitName && number && std::chrono::abs(length) < kMaxDuration) {
      const double nanoseconds = std::round(*number * unit.seconds * kNanosecondsPerSecond);
      return std::chrono::nanoseconds(static_cast<std::int64_t>(nanoseconds));
    }
  }
  return std::nullopt;
}

Result<Done>
SetFromText(Message& aSection, const FieldDescriptor& aField, const std::string& aText)
{
  if (RuleOf(aField).required() && aText.empty()) {
    return ExpectedError("a value", aText, "Give a value; this key is required.");
  }
  return aField.is_repeated() ? SetList(aSection, aField, aText)
                              : SetSingleValue(aSection, aField, aText);
}

} // namespace plantainhaven
