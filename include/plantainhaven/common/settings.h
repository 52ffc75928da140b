#pragma once

#include "plantainhaven/common/result.h"

#include <chrono>
#include <istream>
#include <string>

#include <google/protobuf/duration.pb.h>
#include <google/protobuf/message.h>

namespace plantainhaven {

// Fills a settings message from INI text. Sections are the message's sub-messages,
// keys are their fields, and the rules in the schema define defaults and bounds.
// A repeated field is a comma-separated list; a duration is a number and a unit:
// us, ms, s, min or h. Unknown sections and keys, values out of range, duplicates
// and missing required keys are errors (kInvalid) that state `aFileName`, line, key
// and remedy; `aSettings` is then left unchanged.
Result<Done>
ReadSettings(std::istream& aInput,
             const std::string& aFileName,
             google::protobuf::Message& aSettings);

// Same as ReadSettings(), but reads a file. A file that can't be opened is a kInvalid error.
Result<Done>
ReadSettingsFile(const std::string& aFileName, google::protobuf::Message& aSettings);

// Returns a description of every section and key with unit, default, bounds and help
// text, one key per line, for --help.
std::string
DescribeSettings(const google::protobuf::Message& aSettings);

// Convert between the schema's durations and std::chrono.
std::chrono::nanoseconds
ToChrono(const google::protobuf::Duration& aDuration);
google::protobuf::Duration
FromChrono(std::chrono::nanoseconds aDuration);

} // namespace plantainhaven
