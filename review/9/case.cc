// UNASKED: a client sends requests whose body holds another complete request. The head names a
// transfer coding that the system doesn't know, so the length of the body can't be told.
// TROUBLE=0: the same bodies, sent with their length and in chunks.

#include "standin.h"

using namespace review;

namespace {

// The fields that tell how the body is sent, with the body as it is sent then.
struct Framing
{
  const char* name;
  std::string fields;
  std::string body;
};

std::vector<Framing>
FramingsOf(const std::string& aInner)
{
  if (HasTrouble()) {
    return { { "coding gzip", "Transfer-Encoding: gzip\r\n", aInner },
             { "coding identity", "Transfer-Encoding: identity\r\n", aInner },
             { "codings chunked, identity", "Transfer-Encoding: chunked, identity\r\n", aInner } };
  }
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", aInner.size());
  return { { "length", "Content-Length: " + std::to_string(aInner.size()) + "\r\n", aInner },
           { "chunks", "Transfer-Encoding: chunked\r\n", size + aInner + "\r\n0\r\n\r\n" } };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return kCouldNotRun;
  }
  Record::Get().Open(aArguments[1]);
  StartWatchdog();
  Store store;
  Server server;
  server.options = { .id = "desk-1", .ip = OwnAddress(2) };
  Vm vm;
  bool isSetUp = store.Start(OwnAddress(1)) && server.Start();
  server.Register(store);
  store.Put("op", "config", Configuration().Text());
  vm.options = {
    .name = "vm-a", .ip = OwnAddress(11), .store = store.Address(), .folder = TemporaryFolder()
  };
  isSetUp = isSetUp && vm.Start() && vm.AwaitReady(15000);
  if (!isSetUp) {
    Say("the case could not run");
    return kCouldNotRun;
  }
  SleepMs(500);
  int smuggled = 0;
  for (const bool isUnsafe : { false, true }) {
    const std::size_t count = FramingsOf("").size();
    for (std::size_t i = 0; i < count; ++i) {
      const std::string outerId = NewId();
      const std::string innerId = "inner-" + NewId();
      const std::string inner =
        RequestHead(
          isUnsafe ? "POST" : "GET", isUnsafe ? "/book/9" : "/page/9", innerId, "key-academy", 2000) +
        (isUnsafe ? "Content-Length: 0\r\n\r\n" : "\r\n");
      const Framing framing = FramingsOf(inner)[i];
      Connection connection;
      if (!vm.Connect(connection) ||
          !connection.Send(RequestHead("POST", "/book/1", outerId, "key-academy", 2000) +
                           framing.fields + "\r\n" + framing.body)) {
        return kCouldNotRun;
      }
      Message answer;
      std::string statuses;
      while (connection.Read(answer, 1000) == ReadEnd::kWhole) {
        statuses += " " + answer.second;
      }
      SleepMs(100);
      const int runs = server.Runs(innerId);
      smuggled += runs > 0 ? 1 : 0;
      Say("request id=%s, body with %s: answers%s; the request inside its body (id=%s) ran %d times",
          outerId.c_str(),
          framing.name,
          statuses.c_str(),
          innerId.c_str(),
          runs);
    }
  }
  Say("%d requests ran that were inside the body of another one: UNASKED is %s",
      smuggled,
      smuggled > 0 ? "broken" : "held");
  return smuggled > 0 ? kBroken : kHeld;
}
