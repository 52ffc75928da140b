#include "edge/held_signals.h"
#include "edge/net.h"

#include <boost/asio/signal_set.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <initializer_list>

namespace plantainhaven::edge {
namespace {

// A VM that was told to reload or to stop while it was starting ended without a word.
TEST_CASE("A signal that comes before it is handled doesn't end the process and isn't lost")
{
  for (const int signal : { SIGHUP, SIGTERM }) {
    CAPTURE(signal);
    HoldSignals();
    REQUIRE(::raise(signal) == 0);
    asio::io_context context;
    asio::signal_set signals(context, signal);
    int received = 0;
    signals.async_wait([&received](const beast::error_code&, int aSignal) { received = aSignal; });
    ReleaseSignals();
    context.run_for(std::chrono::seconds(5));
    CHECK(received == signal);
  }
}

} // namespace
} // namespace plantainhaven::edge
