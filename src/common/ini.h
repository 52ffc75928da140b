#pragma once

#include "plantainhaven/common/result.h"

#include <istream>
#include <string>
#include <vector>

namespace plantainhaven {

// One "key = value" line and the section that it stands in.
struct IniEntry
{
  std::string section;
  std::string key;
  std::string value;
  std::size_t line = 0;
};

// A whole INI text. Sections are listed also when they hold no key; the name stands
// in `section` of each.
struct IniText
{
  std::vector<IniEntry> sections;
  std::vector<IniEntry> entries;
};

// Reads INI lines: [section], key = value, blank lines and lines that begin with
// # or ;. A key before the first section, a section or key given twice and any
// other line are errors that name `aFileName` and the line.
Result<IniText>
ParseIni(std::istream& aInput, const std::string& aFileName);

// Drops blanks at both ends.
std::string
Trim(std::string_view aText);

// "FILE:LINE: ", the start of each message about a line.
std::string
Place(const std::string& aFileName, std::size_t aLine);

} // namespace plantainhaven
