#include "http/acceptor.h"

#include "http/listener_filter.h"
#include "plantainhaven/common/log.h"

#include <algorithm>

#include <netinet/in.h>
#include <sys/socket.h>

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kBacklog = 1024;
constexpr std::chrono::milliseconds kAcceptRetry{ 100 };
// Time in which handshakes already begun complete.
constexpr std::chrono::milliseconds kHandshakeWait{ 100 };

std::uint16_t
PortOf(int aListener)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(aListener, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

} // namespace

Acceptor::Acceptor(std::string aAddress, std::uint16_t aPort, Accepted aAccepted)
  : address(std::move(aAddress))
  , wantedPort(aPort)
  , accepted(std::move(aAccepted))
{
  this->new_task_queue = [] { return new InlineQueue; };
  // In place of cpp-httplib's options, which let two servers share a port.
  this->set_socket_options([](socket_t aSocket) {
    const int on = 1;
    ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
}

Acceptor::~Acceptor()
{
  this->Close();
}

bool
Acceptor::Bind(std::uint16_t aPort)
{
  if (!this->bind_to_port(this->address, aPort)) {
    return false;
  }
  // cpp-httplib's own backlog is 5.
  ::listen(this->svr_sock_, kBacklog);
  this->boundPort = PortOf(this->svr_sock_);
  return true;
}

bool
Acceptor::Start()
{
  if (!this->Bind(this->wantedPort)) {
    return false;
  }
  this->thread = std::thread([this] { this->Run(); });
  while (!this->is_running()) {
    std::this_thread::yield(); // stop() has no effect before.
  }
  return true;
}

void
Acceptor::Run()
{
  // cpp-httplib's loop ends for good at some passing errors of accept().
  while (!this->listen_after_bind() && !this->isStopping) {
    Log(LogLevel::kError, "http_accept_failed", { { "port", this->boundPort.load() } });
    std::this_thread::sleep_for(kAcceptRetry);
    this->Bind(this->boundPort);
  }
}

bool
Acceptor::process_and_close_socket(socket_t aSocket)
{
  this->accepted(aSocket);
  return true;
}

void
Acceptor::CloseGently(Clock::time_point aDeadline)
{
  if (this->IsOpen()) {
    IgnoreNewConnections(this->svr_sock_);
    std::this_thread::sleep_until(std::min(aDeadline, Clock::now() + kHandshakeWait));
    this->Close();
  }
}

void
Acceptor::Close()
{
  if (this->IsOpen()) {
    this->isStopping = true;
    this->stop();
    this->thread.join();
  }
}

} // namespace plantainhaven
