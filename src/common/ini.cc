#include "common/ini.h"

#include <algorithm>

namespace plantainhaven {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n\v\f";

bool
IsBlankOrComment(const std::string& aLine)
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

  Result<Done> ParseLine(const std::string& aLine)
  {
    ++this->line;
    const std::string text = Trim(aLine);
    if (IsBlankOrComment(text)) {
      return Done{};
    }
    return text.front() == '[' ? this->ParseSection(text) : this->ParseKey(text);
  }

  IniText TakeParsed() { return std::move(this->ini); }

private:
  Result<Done> ParseSection(const std::string& aText)
  {
    if (aText.size() < 3 || aText.back() != ']') {
      return this->MakeError("expected [section], found \"" + aText + "\"",
                             "Write the section's name between [ and ], alone on its line.");
    }
    const std::string name = Trim(std::string_view(aText).substr(1, aText.size() - 2));
    for (const IniEntry& known : this->ini.sections) {
      if (known.section == name) {
        return this->MakeError("section [" + name + "] is already defined in line " +
                                 std::to_string(known.line),
                               "Put all keys of a section under one heading.",
                               name);
      }
    }
    this->section = name;
    this->ini.sections.push_back({ name, "", "", this->line });
    return Done{};
  }

  Result<Done> ParseKey(const std::string& aText)
  {
    const std::size_t equals = aText.find('=');
    if (equals == std::string::npos || equals == 0) {
      return this->MakeError("expected key = value, found \"" + aText + "\"",
                             "Write key = value, or begin the line with # for a comment.");
    }
    const std::string key = Trim(std::string_view(aText).substr(0, equals));
    if (this->section.empty()) {
      return this->MakeError(
        "key " + key + " appears before the first section", "Put it below its [section].", key);
    }
    for (const IniEntry& known : this->ini.entries) {
      if (known.section == this->section && known.key == key) {
        return this->MakeError("key " + this->section + "." + key + " is already defined in line " +
                                 std::to_string(known.line),
                               "Remove one of the two lines.",
                               this->section + "." + key);
      }
    }
    this->ini.entries.push_back(
      { this->section, key, Trim(std::string_view(aText).substr(equals + 1)), this->line });
    return Done{};
  }

  Error MakeError(const std::string& aMessage,
                  const std::string& aRemedy,
                  const std::string& aField = {}) const
  {
    return {
      ErrorKind::kInvalid, LocationPrefix(this->fileName, this->line) + aMessage, aRemedy, aField
    };
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
  const std::size_t first = aText.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = aText.find_last_not_of(kWhitespace);
  return std::string(aText.substr(first, last - first + 1));
}

std::string
LocationPrefix(const std::string& aFileName, std::size_t aLine)
{
  return aFileName + ":" + std::to_string(aLine) + ": ";
}

Result<IniText>
ParseIni(std::istream& aInput, const std::string& aFileName)
{
  IniParser parser(aFileName);
  std::string line;
  while (std::getline(aInput, line)) {
    const Result<Done> result = parser.ParseLine(line);
    if (!IsOk(result)) {
      return ErrorOf(result);
    }
  }
  if (aInput.bad()) {
    return Error{ ErrorKind::kInvalid,
                  aFileName + ": reading failed",
                  "Check that it is a readable file." };
  }
  return parser.TakeParsed();
}

} // namespace plantainhaven
