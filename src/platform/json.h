#pragma once

#include "plantainhaven/common/result.h"

#include <string>

#include <google/protobuf/message.h>

namespace plantainhaven {

// A message in protobuf's JSON form, with the schema's own field names and with
// fields of default value left in when `aWithDefaults` is set.
std::string
WriteJson(const google::protobuf::Message& aMessage, bool aWithDefaults = false);

// Reads the JSON form; kInvalid for other text and for unknown fields.
Result<Done>
ReadJson(const std::string& aJson, google::protobuf::Message& aMessage);

} // namespace plantainhaven
