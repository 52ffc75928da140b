#include "fleet/zmq_support.h"

#include <catch2/catch.hpp>

namespace plantainhaven {

TEST_CASE("Endpoints that other VMs name must be IP numbers with a port")
{
  struct Case
  {
    const char* endpoint;
    bool expected;
  };
  const Case cases[] = {
    { "tcp://127.0.0.1:7000", true },
    { "tcp://[2001:db8::1]:7000", true },
    { "", false },
    { "tcp://", false },
    { "127.0.0.1:7000", false },
    { "ipc:///tmp/socket", false },
    { "inproc://name", false },
    { "tcp://host.example:7000", false },
    { "tcp://127.0.0.1;10.0.0.1:7000", false },
  };
  for (const Case& each : cases) {
    CAPTURE(each.endpoint);
    CHECK(IsTcpEndpoint(each.endpoint) == each.expected);
  }
  CHECK(TcpEndpoint("10.0.0.1", 7000) == "tcp://10.0.0.1:7000");
  CHECK(TcpEndpoint("2001:db8::1", 7000) == "tcp://[2001:db8::1]:7000");
}

} // namespace plantainhaven
