#include "common/ini.h"

#include <algorithm>

namespace plantainhaven {

namespace {

constexpr std::string_view kBlanks = " \t\r\n\v\f";

bool
IsIgnored(const std::string& aLine)
{
  return aLine.empty() || aLine.front() == '#' || aLine.front() == ';';
}

class IniParser
{
public:
  explicit IniParser(const std::string& aFileName)
    : fileName(aFileName)
  {
  }

  Result<Done> Line(const std::string& aLine)
  {
    ++this->line;
    const std::string text = Trim(aLine);
    if (IsIgnored(text)) {
      return Done{};
    }
    return text.front() == '[' ? this->Section(text) : this->Key(text);
  }

  IniText Take() { return std::move(this->ini); }

private:
  Result<Done> Section(const std::string& aText)
  {
    if (aText.size() < 3 || aText.back() != ']') {
      return this->Fault("expected [section], found \"" + aText + "\"",
                         "Write the section's name between [ and ], alone on its line.");
    }
    const std::string name = Trim(std::string_view(aText).substr(1, aText.size() - 2));
    for (const IniEntry& known : this->ini.sections) {
      if (known.section == name) {
        return this->Fault("section [" + name + "] stands already in line " +
                             std::to_string(known.line),
                           "Put all keys of a section under one heading.",
                           name);
      }
    }
    this->section = name;
    this->ini.sections.push_back({ name, "", "", this->line });
    return Done{};
  }

  Result<Done> Key(const std::string& aText)
  {
    const std::size_t equals = aText.find('=');
    if (equals == std::string::npos || equals == 0) {
      return this->Fault("expected key = value, found \"" + aText + "\"",
                         "Write key = value, or begin the line with # for a comment.");
    }
    const std::string key = Trim(std::string_view(aText).substr(0, equals));
    if (this->section.empty()) {
      return this->Fault(
        "key " + key + " stands before the first section", "Put it below its [section].", key);
    }
    for (const IniEntry& known : this->ini.entries) {
      if (known.section == this->section && known.key == key) {
        return this->Fault("key " + this->section + "." + key + " was given already in line " +
                             std::to_string(known.line),
                           "Remove one of the two lines.",
                           this->section + "." + key);
      }
    }
    this->ini.entries.push_back(
      { this->section, key, Trim(std::string_view(aText).substr(equals + 1)), this->line });
    return Done{};
  }

  Error Fault(const std::string& aMessage,
              const std::string& aRemedy,
              const std::string& aField = {}) const
  {
    return { ErrorKind::kInvalid, Place(this->fileName, this->line) + aMessage, aRemedy, aField };
  }

  std::string fileName;
  std::string section;
  std::size_t line = 0;
  IniText ini;
};

} // namespace

std::string
Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = aText.find_last_not_of(kBlanks);
  return std::string(aText.substr(first, last - first + 1));
}

std::string
Place(const std::string& aFileName, std::size_t aLine)
{
  return aFileName + ":" + std::to_string(aLine) + ": ";
}

Result<IniText>
ParseIni(std::istream& aInput, const std::string& aFileName)
{
  IniParser parser(aFileName);
  std::string line;
  while (std::getline(aInput, line)) {
    const Result<Done> result = parser.Line(line);
    if (!IsOk(result)) {
      return ErrorOf(result);
    }
  }
  if (aInput.bad()) {
    return Error{ ErrorKind::kInvalid,
                  aFileName + ": reading failed",
                  "Check that it is a readable file." };
  }
  return parser.Take();
}

} // namespace plantainhaven
