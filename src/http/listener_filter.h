#pragma once

namespace plantainhaven {

// Makes a listening socket ignore new connection requests, while handshakes already
// begun complete. Closing it later then resets nobody who may have sent a request.
void
IgnoreNewConnections(int aListener);

} // namespace plantainhaven
