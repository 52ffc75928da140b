#include "plantainhaven/common/settings.h"

#include "common/ini.h"
#include "common/setting_value.h"

#include <array>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <memory>
#include <set>

namespace plantainhaven {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

bool
IsSection(const FieldDescriptor& aField)
{
  return aField.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE && !aField.is_repeated() &&
         !IsDuration(aField);
}

std::string
FieldNames(const Descriptor& aDescriptor)
{
  std::string names;
  for (int index = 0; index < aDescriptor.field_count(); ++index) {
    names += (index == 0 ? "" : ", ") + aDescriptor.field(index)->name();
  }
  return names;
}

// Fills a new message from INI text. After an error the message is partly filled, and the
// caller must discard it.
class SettingsFiller
{
public:
  SettingsFiller(const std::string& aFileName, Message& aSettings)
    : fileName(aFileName)
    , settings(aSettings)
  {
  }

  Result<Done> Fill(const IniText& aIni)
  {
    for (const IniEntry& section : aIni.sections) {
      if (this->SectionField(section.section) == nullptr) {
        return this->UnknownSection(section);
      }
    }
    for (const IniEntry& entry : aIni.entries) {
      Result<Done> result = this->SetEntry(entry);
      if (!IsOk(result)) {
        return result;
      }
    }
    return this->ApplyDefaults();
  }

private:
  const FieldDescriptor* SectionField(const std::string& aName) const
  {
    const auto* field = this->settings.GetDescriptor()->FindFieldByName(aName);
    return field != nullptr && IsSection(*field) ? field : nullptr;
  }

  Message& Section(const FieldDescriptor& aField)
  {
    return *this->settings.GetReflection()->MutableMessage(&this->settings, &aField);
  }

  Result<Done> SetEntry(const IniEntry& aEntry)
  {
    const auto* sectionField = this->SectionField(aEntry.section);
    const auto* field = sectionField->message_type()->FindFieldByName(aEntry.key);
    if (field == nullptr) {
      return this->UnknownKey(aEntry, *sectionField->message_type());
    }
    const Result<Done> result = SetFromText(this->Section(*sectionField), *field, aEntry.value);
    if (!IsOk(result)) {
      Error error = ErrorOf(result);
      error.field = aEntry.section + "." + aEntry.key;
      error.message =
        LocationPrefix(this->fileName, aEntry.line) + error.field + ": " + error.message;
      return error;
    }
    this->definedKeys.insert(aEntry.section + "." + aEntry.key);
    return Done{};
  }

  // Applies the schema's defaults to the keys that the file doesn't set. Fails when a required
  // key is missing.
  Result<Done> ApplyDefaults()
  {
    const Descriptor* descriptor = this->settings.GetDescriptor();
    for (int index = 0; index < descriptor->field_count(); ++index) {
      const FieldDescriptor& field = *descriptor->field(index);
      if (!IsSection(field)) {
        continue;
      }
      Result<Done> result = this->ApplySectionDefaults(field);
      if (!IsOk(result)) {
        return result;
      }
    }
    return Done{};
  }

  Result<Done> ApplySectionDefaults(const FieldDescriptor& aSection)
  {
    Message& section = this->Section(aSection);
    const Descriptor* descriptor = aSection.message_type();
    for (int index = 0; index < descriptor->field_count(); ++index) {
      const FieldDescriptor& field = *descriptor->field(index);
      const std::string name = aSection.name() + "." + field.name();
      if (this->definedKeys.count(name) != 0) {
        continue;
      }
      const Rule& fieldRule = RuleOf(field);
      if (fieldRule.required()) {
        return this->MissingKey(name, fieldRule);
      }
      if (fieldRule.fallback().empty()) {
        continue;
      }
      const Result<Done> result = SetFromText(section, field, fieldRule.fallback());
      if (!IsOk(result)) {
        return Error{ ErrorKind::kInternal,
                      name + ": fallback of the schema: " + ErrorOf(result).message,
                      "Correct the schema.",
                      name };
      }
    }
    return Done{};
  }

  Error UnknownSection(const IniEntry& aEntry) const
  {
    return { ErrorKind::kInvalid,
             LocationPrefix(this->fileName, aEntry.line) + "expected a known section, found [" +
               aEntry.section + "]",
             "Use one of: " + FieldNames(*this->settings.GetDescriptor()) + ".",
             aEntry.section };
  }

  Error UnknownKey(const IniEntry& aEntry, const Descriptor& aSection) const
  {
    return { ErrorKind::kInvalid,
             LocationPrefix(this->fileName, aEntry.line) + "expected a known key of [" +
               aEntry.section + "], found " + aEntry.key,
             "Use one of: " + FieldNames(aSection) + ".",
             aEntry.section + "." + aEntry.key };
  }

  Error MissingKey(const std::string& aName, const Rule& aRule) const
  {
    return { ErrorKind::kInvalid,
             this->fileName + ": expected " + aName + ", found no such key",
             "Give it: " + aRule.help(),
             aName };
  }

  std::string fileName;
  Message& settings;
  std::set<std::string> definedKeys;
};

std::string
FormatBound(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.12g", aValue);
  return text.data();
}

std::string
DescribeKey(const FieldDescriptor& aField)
{
  const Rule& fieldRule = RuleOf(aField);
  std::string line = "  " + aField.name();
  if (!fieldRule.unit().empty()) {
    line += " [" + fieldRule.unit() + "]";
  }
  if (fieldRule.required()) {
    line += " (required)";
  } else {
    line += " (default \"" + fieldRule.fallback() + "\")";
  }
  if (fieldRule.has_range()) {
    line += " (" + FormatBound(fieldRule.min()) + " to " + FormatBound(fieldRule.max()) + ")";
  }
  return line + " " + fieldRule.help() + "\n";
}

} // namespace

Result<Done>
ReadSettings(std::istream& aInput, const std::string& aFileName, Message& aSettings)
{
  const Result<IniText> ini = ParseIni(aInput, aFileName);
  if (!IsOk(ini)) {
    return ErrorOf(ini);
  }
  const std::unique_ptr<Message> fresh(aSettings.New());
  Result<Done> result = SettingsFiller(aFileName, *fresh).Fill(ValueOf(ini));
  if (IsOk(result)) {
    aSettings.CopyFrom(*fresh);
  }
  return result;
}

Result<Done>
ReadSettingsFile(const std::string& aFileName, Message& aSettings)
{
  std::ifstream input(aFileName);
  if (!input) {
    return Error{ ErrorKind::kInvalid,
                  aFileName + ": expected a readable settings file: " + std::strerror(errno),
                  "Give the path of an INI file with --config." };
  }
  return ReadSettings(input, aFileName, aSettings);
}

std::string
DescribeSettings(const Message& aSettings)
{
  std::string text;
  const Descriptor* descriptor = aSettings.GetDescriptor();
  for (int index = 0; index < descriptor->field_count(); ++index) {
    const FieldDescriptor& section = *descriptor->field(index);
    if (!IsSection(section)) {
      continue;
    }
    text += "[" + section.name() + "]\n";
    for (int key = 0; key < section.message_type()->field_count(); ++key) {
      text += DescribeKey(*section.message_type()->field(key));
    }
  }
  return text;
}

std::chrono::nanoseconds
ToChrono(const google::protobuf::Duration& aDuration)
{
  return std::chrono::seconds(aDuration.seconds()) + std::chrono::nanoseconds(aDuration.nanos());
}

google::protobuf::Duration
FromChrono(std::chrono::nanoseconds aDuration)
{
  google::protobuf::Duration duration;
  duration.set_seconds(aDuration.count() / kNanosecondsPerSecond);
  duration.set_nanos(static_cast<std::int32_t>(aDuration.count() % kNanosecondsPerSecond));
  return duration;
}

} // namespace plantainhaven
