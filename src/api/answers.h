#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/http/message.h"
#include "plantainhaven/policy/config/configuration.h"

#include <string>

#include <google/protobuf/message.h>

namespace plantainhaven {

constexpr const char* kRevisionHeader = "Plantainhaven-Revision";
constexpr const char* kChangeIdHeader = "Plantainhaven-Change-Id";

// A message as JSON on one line with the schema's field names; fields at their
// default are written too.
std::string
ToJson(const google::protobuf::Message& aMessage);

// Reads a message from JSON. kInvalid names an unknown field or a value that doesn't
// fit its field.
Result<Done>
FromJson(const std::string& aJson, google::protobuf::Message& aMessage);

// Status with which an error of this kind is answered.
int
StatusOf(ErrorKind aKind);

// An answer with an ErrorAnswer as its body. `aCurrent` may be null.
HttpResponse
ErrorResponse(const Error& aError, const Resource* aCurrent = nullptr);

// The same with a status that doesn't follow from the kind.
HttpResponse
ErrorResponse(int aStatus, const Error& aError);

// 200 for an accepted write, 202 for one that is committed but not yet accepted.
int
StatusOf(const WriteOutcome& aOutcome);

// An answer with a message as its body, taken at a revision.
HttpResponse
MessageResponse(int aStatus, const google::protobuf::Message& aMessage, Revision aRevision);

} // namespace plantainhaven
