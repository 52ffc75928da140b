#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/http/message.h"

#include <google/protobuf/message.h>

namespace plantainhaven {

// An answer with a message in JSON, fields of default value included.
HttpResponse
MessageResponse(const google::protobuf::Message& aMessage, int aStatus = 200);

// An answer 400, 404, 503 or 500 that carries a PlatformError.
HttpResponse
ErrorResponse(const Error& aError);

// Cuts the connection, so that the client gets no whole answer.
HttpResponse
NoResponse();

} // namespace plantainhaven
