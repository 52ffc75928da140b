#pragma once

#include "plantainhaven/common/result.h"

#include <istream>
#include <string>
#include <vector>

namespace plantainhaven {

// One "key = value" line and its section.
struct IniEntry
{
  std::string section;
  std::string key;
  std::string value;
  std::size_t line = 0;
};

// A parsed INI text. `sections` lists the headings, also of sections without keys; only
// `section` and `line` are set in these entries.
struct IniText
{
  std::vector<IniEntry> sections;
  std::vector<IniEntry> entries;
};

// Parses INI lines: [section], key = value, blank lines and comments, which begin with
// # or ;. A key before the first section, a duplicate section or key and any other line
// are errors (kInvalid) that state `aFileName` and the line.
Result<IniText>
ParseIni(std::istream& aInput, const std::string& aFileName);

// Removes white space at both ends.
std::string
Trim(std::string_view aText);

// Returns "FILE:LINE: ", the prefix of each error message about a line.
std::string
LocationPrefix(const std::string& aFileName, std::size_t aLine);

} // namespace plantainhaven
