#pragma once

#include "plantainhaven/http/client.h"

namespace plantainhaven {

// Begins to connect to the server of the options, without blocking. Returns the
// descriptor, which the caller owns, or -1.
int
StartConnect(const HttpClientOptions& aOptions);

// Waits at most `aLongest` until the connection stands. False when it doesn't.
bool
FinishConnect(int aDescriptor, std::chrono::milliseconds aLongest);

// True when neither bytes nor the end have come from the other end.
bool
IsQuiet(int aDescriptor);

} // namespace plantainhaven
