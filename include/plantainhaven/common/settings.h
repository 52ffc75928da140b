#pragma once

#include "plantainhaven/common/result.h"

#include <chrono>
#include <istream>
#include <string>

#include <google/protobuf/duration.pb.h>
#include <google/protobuf/message.h>

namespace plantainhaven {

// Fills a settings message from INI text. Sections are the message's sub-messages,
// keys are their fields, and the rules in the schema give defaults and bounds.
// A repeated field takes a comma-separated list; a duration takes a number and a
// unit: us, ms, s, min or h. Unknown sections and keys, values out of range,
// duplicates and missing required keys are errors that name `aFileName`, line, key
// and remedy; `aSettings` is then left unchanged.
Result<Done>
ReadSettings(std::istream& aInput,
             const std::string& aFileName,
             google::protobuf::Message& aSettings);

// The same from a file. A file that can't be opened is an error.
Result<Done>
ReadSettingsFile(const std::string& aFileName, google::protobuf::Message& aSettings);

// Describes every section and key with unit, default, bounds and help, one key a
// line; --help prints it.
std::string
DescribeSettings(const google::protobuf::Message& aSettings);

// Converts between the schema's durations and std::chrono.
std::chrono::nanoseconds
ToChrono(const google::protobuf::Duration& aDuration);
google::protobuf::Duration
FromChrono(std::chrono::nanoseconds aDuration);

} // namespace plantainhaven
