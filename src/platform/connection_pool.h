#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/http/client.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace plantainhaven {

// Connections to one server that wait for their next exchange. A connection that
// was idle for long is never handed out; one that the server has closed opens anew
// at its next exchange. Safe for several threads.
class ConnectionPool
{
public:
  explicit ConnectionPool(HttpClientOptions aOptions);

  // A kept connection, else a new one that isn't open yet.
  std::unique_ptr<HttpConnection> Take(BootTime aNow);
  // A new connection that isn't open yet.
  std::unique_ptr<HttpConnection> MakeNew() const;
  // Keeps a connection after a whole answer; one too many is closed.
  void Return(std::unique_ptr<HttpConnection> aConnection, BootTime aNow);
  // Closes all kept connections, which may share the fate of one that failed.
  void Clear();

private:
  struct Idle
  {
    std::unique_ptr<HttpConnection> connection;
    BootTime since;
  };

  HttpClientOptions options;
  std::mutex mutex;
  // The newest comes last.
  std::vector<Idle> idle;
};

} // namespace plantainhaven
