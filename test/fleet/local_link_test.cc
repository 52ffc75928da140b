#include "fleet/link_support.h"
#include "fleet/relay.h"
#include "plantainhaven/fleet/local_link.h"
#include "plantainhaven/policy/config/configuration.h"

#include <atomic>
#include <future>
#include <thread>

#include <catch2/catch.hpp>
#include <zmq.hpp>

namespace plantainhaven {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAskTimeout{ 5000 };
constexpr milliseconds kShortTimeout{ 100 };

ViewAsk
AskAfter(Revision aRevision)
{
  ViewAsk ask;
  ask.set_role("entry");
  ask.set_applied_revision(aRevision);
  return ask;
}

// Answers each ask with the revision that it states.
ViewAnswer
Echo(const ViewAsk& aAsk)
{
  ViewAnswer answer;
  answer.set_applied_revision(aAsk.applied_revision());
  return answer;
}

// A LocalServer that serves in its own thread.
class ServingThread
{
public:
  explicit ServingThread(std::uint16_t aPort)
  {
    std::promise<bool> bound;
    this->thread = std::thread([this, aPort, &bound] {
      LocalServer server;
      bound.set_value(IsOk(server.Bind(kLoopback, aPort)));
      while (!this->stopping) {
        this->served += server.ProcessRequests(Echo);
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
    REQUIRE(bound.get_future().get());
  }
  ~ServingThread()
  {
    this->stopping = true;
    this->thread.join();
  }
  std::size_t Served() const { return this->served; }

private:
  std::atomic<bool> stopping = false;
  std::atomic<std::size_t> served = 0;
  std::thread thread;
};

// Stands in for a controld whose answers are written by hand.
class RawServer
{
public:
  explicit RawServer(std::uint16_t aPort)
    : socket(this->context, zmq::socket_type::router)
  {
    this->socket.set(zmq::sockopt::linger, 0);
    this->socket.set(zmq::sockopt::rcvtimeo, static_cast<int>(kAskTimeout.count()));
    this->socket.bind(LoopbackEndpoint(aPort));
  }

  // Waits for an ask; false when none came. Makes no assertion, since it runs in a
  // thread of its own.
  bool Take()
  {
    zmq::message_t body;
    return this->socket.recv(this->route) && this->socket.recv(this->number) &&
           this->socket.recv(body);
  }
  // Answers the route of the last ask, under a number that may be another.
  void Answer(const std::string& aNumber, const std::string& aBody)
  {
    this->socket.send(zmq::buffer(this->route.to_string()), zmq::send_flags::sndmore);
    this->socket.send(zmq::buffer(aNumber), zmq::send_flags::sndmore);
    this->socket.send(zmq::buffer(aBody));
  }
  std::string Number() const { return this->number.to_string(); }

private:
  zmq::context_t context;
  zmq::socket_t socket;
  zmq::message_t route;
  zmq::message_t number;
};

} // namespace

TEST_CASE("LocalClient: each ask gets its own answer")
{
  const std::uint16_t port = FreePort();
  const ServingThread server(port);
  LocalClient client(kLoopback, port);
  constexpr Revision kAsks = 20;
  for (Revision revision = 1; revision <= kAsks; ++revision) {
    const std::optional<ViewAnswer> answer = client.RequestView(AskAfter(revision), kAskTimeout);
    REQUIRE(answer);
    CHECK(answer->applied_revision() == revision);
  }
  CHECK(server.Served() == kAsks);
}

TEST_CASE("LocalClient: nothing while no server runs, answers once one does")
{
  const std::uint16_t port = FreePort();
  LocalClient client(kLoopback, port);
  CHECK_FALSE(client.RequestView(AskAfter(1), kShortTimeout));
  auto server = std::make_unique<ServingThread>(port);
  REQUIRE(client.RequestView(AskAfter(2), kAskTimeout));
  server.reset();
  CHECK_FALSE(client.RequestView(AskAfter(3), kShortTimeout));
  server = std::make_unique<ServingThread>(port);
  const std::optional<ViewAnswer> answer = client.RequestView(AskAfter(4), kAskTimeout);
  REQUIRE(answer);
  CHECK(answer->applied_revision() == 4);
}

TEST_CASE("LocalClient: a server that accepts and stays silent is given up")
{
  auto silent = std::make_unique<SilentListener>();
  const std::uint16_t port = silent->Port();
  LocalClient client(kLoopback, port);
  CHECK_FALSE(client.RequestView(AskAfter(1), kShortTimeout));
  silent.reset();
  const ServingThread server(port);
  CHECK(client.RequestView(AskAfter(2), kAskTimeout));
}

TEST_CASE("LocalClient: a half-open connection is replaced after one ask")
{
  const std::uint16_t port = FreePort();
  const ServingThread server(port);
  Relay relay(port);
  LocalClient client(kLoopback, relay.Port());
  REQUIRE(client.RequestView(AskAfter(1), kAskTimeout));
  relay.Silence();
  CHECK_FALSE(client.RequestView(AskAfter(2), kShortTimeout));
  const std::optional<ViewAnswer> answer = client.RequestView(AskAfter(3), kAskTimeout);
  REQUIRE(answer);
  CHECK(answer->applied_revision() == 3);
}

TEST_CASE("LocalClient: a late answer isn't taken for the answer to the next ask")
{
  const std::uint16_t port = FreePort();
  RawServer server(port);
  LocalClient client(kLoopback, port);
  bool bothCame = false;
  std::thread late([&] {
    const bool firstCame = server.Take();
    const std::string first = server.Number();
    bothCame = firstCame && server.Take();
    // Late and crossed answers come first, then bytes that don't parse.
    server.Answer(first, Echo(AskAfter(1)).SerializeAsString());
    server.Answer("", Echo(AskAfter(1)).SerializeAsString());
    server.Answer(server.Number(), "\x0a\x7f");
    server.Answer(server.Number(), Echo(AskAfter(2)).SerializeAsString());
  });
  CHECK_FALSE(client.RequestView(AskAfter(1), kShortTimeout));
  const std::optional<ViewAnswer> answer = client.RequestView(AskAfter(2), kAskTimeout);
  late.join();
  REQUIRE(bothCame);
  REQUIRE(answer);
  CHECK(answer->applied_revision() == 2);
}

TEST_CASE("LocalServer: malformed asks are dropped and what follows is answered")
{
  const std::uint16_t port = FreePort();
  const ServingThread server(port);
  zmq::context_t context;
  zmq::socket_t raw(context, zmq::socket_type::dealer);
  raw.set(zmq::sockopt::linger, 0);
  raw.set(zmq::sockopt::rcvtimeo, static_cast<int>(kAskTimeout.count()));
  raw.connect(LoopbackEndpoint(port));
  raw.send(zmq::str_buffer("one part"));
  raw.send(zmq::str_buffer("n"), zmq::send_flags::sndmore);
  raw.send(zmq::buffer("\x0a\x7f", 2));
  raw.send(zmq::str_buffer("number"), zmq::send_flags::sndmore);
  raw.send(zmq::buffer(AskAfter(9).SerializeAsString()));
  zmq::message_t number;
  zmq::message_t body;
  REQUIRE(raw.recv(number));
  REQUIRE(raw.recv(body));
  CHECK(number.to_string() == "number");
  ViewAnswer answer;
  REQUIRE(answer.ParseFromString(body.to_string()));
  CHECK(answer.applied_revision() == 9);
}

} // namespace plantainhaven
