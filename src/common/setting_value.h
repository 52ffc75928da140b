#pragma once

#include "options.pb.h"
#include "plantainhaven/common/result.h"

#include <chrono>
#include <optional>
#include <string>

#include <google/protobuf/message.h>

namespace plantainhaven {

// The rule that the schema gives for a field; an empty rule when it gives none.
const Rule&
RuleOf(const google::protobuf::FieldDescriptor& aField);

// True when the field holds a google.protobuf.Duration.
bool
IsDuration(const google::protobuf::FieldDescriptor& aField);

// Reads a number and a unit (us, ms, s, min or h); nothing when it is neither.
std::optional<std::chrono::nanoseconds>
ParseDuration(std::string_view aText);

// Sets one field from its INI form and checks it against the field's rule. The
// error's message tells what was expected and found, without place and key.
Result<Done>
SetFromText(google::protobuf::Message& aSection,
            const google::protobuf::FieldDescriptor& aField,
            const std::string& aText);

} // namespace plantainhaven
