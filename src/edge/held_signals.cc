#include "edge/held_signals.h"

#include <csignal>
#include <initializer_list>

namespace plantainhaven::edge {
namespace {

void
ChangeMask(int aHow)
{
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    ::sigaddset(&signals, signal);
  }
  ::pthread_sigmask(aHow, &signals, nullptr);
}

} // namespace

void
HoldSignals()
{
  ChangeMask(SIG_BLOCK);
}

void
ReleaseSignals()
{
  ChangeMask(SIG_UNBLOCK);
}

} // namespace plantainhaven::edge
