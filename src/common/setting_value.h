#pragma once

#include "options.pb.h"
#include "plantainhaven/common/result.h"

#include <chrono>
#include <optional>
#include <string>

#include <google/protobuf/message.h>

namespace plantainhaven {

// Returns the rule of a field in the schema; an empty rule when there is none.
const Rule&
RuleOf(const google::protobuf::FieldDescriptor& aField);

// Returns true when the type of the field is google.protobuf.Duration.
bool
IsDuration(const google::protobuf::FieldDescriptor& aField);

// Parses a number and a unit (us, ms, s, min or h). Returns nullopt when the text is malformed
// or the duration is 9e9 seconds or longer.
std::optional<std::chrono::nanoseconds>
ParseDuration(std::string_view aText);

// Sets one field from its INI value and checks it against the field's rule. The error
// message states the expected and the found value, without file, line and key.
Result<Done>
SetFromText(google::protobuf::Message& aSection,
            const google::protobuf::FieldDescriptor& aField,
            const std::string& aText);

} // namespace plantainhaven
