#include "plantainhaven/policy/request/header_hygiene.h"

#include <catch2/catch.hpp>

using namespace plantainhaven;

namespace {

const std::string kKey = "k-7f3a9b";
const std::string kIssuedKey(64, 'a');

bool
IsIssuedKey(std::string_view aWord)
{
  return aWord == kIssuedKey;
}

struct HeaderCase
{
  const char* name;
  const char* value;
  bool forwarded;
};

} // namespace

TEST_CASE("a backend server receives no account, credential, hop-by-hop or Plantainhaven- headers "
          "of the caller")
{
  const HeaderCase cases[] = {
    { "Accept", "text/html", true },
    { "X-Trace", "7", true },
    { "Cookie", "a=b", true },
    { "Authorization", "Bearer x", false },
    { "aUTHORIZATION", "Bearer x", false },
    { "Proxy-Authorization", "Bearer x", false },
    { "Plantainhaven-Account", "rich", false },
    { "PLANTAINHAVEN-ACCOUNT", "rich", false },
    { "Plantainhaven_Account", "rich", false },
    { "Plantainhaven-Anything", "x", false },
    { "X-Client-Account", "rich", false },
    { "X_Client_Account", "rich", false },
    { "X-Tenant", "rich", false },
    { "Connection", "keep-alive, X-Hop", false },
    { "x-hop", "1", false },
    { "TE", "trailers", false },
    { "Trailer", "Authorization", false },
    { "Transfer-Encoding", "chunked", false },
    { "Upgrade", "h2c", false },
    { "Keep-Alive", "5", false },
    { "Content-Length", "3", false },
  };
  std::vector<HttpHeader> headers;
  for (const HeaderCase& entry : cases) {
    headers.push_back({ entry.name, entry.value });
  }
  const auto made = HeadersForServer(headers, { "small", "id-1", std::chrono::milliseconds(250) });
  REQUIRE(IsOk(made));
  const std::vector<HttpHeader>& kept = ValueOf(made);
  for (const HeaderCase& entry : cases) {
    INFO(entry.name << ": " << entry.value);
    const bool found = std::any_of(kept.begin(), kept.end(), [&](const HttpHeader& aHeader) {
      return aHeader.name == entry.name && aHeader.value == entry.value;
    });
    CHECK(found == entry.forwarded);
  }
  REQUIRE(kept.size() == 6);
  CHECK(kept[3].value == "small");
  CHECK(kept[4].value == "id-1");
  CHECK(kept[5].value == "250");
}

TEST_CASE("malformed headers are rejected")
{
  const HttpHeader cases[] = { { "X Y", "1" },
                               { "Authorization ", "Bearer x" },
                               { "", "1" },
                               { "X", "a\r\nY: 1" },
                               { "X:", "1" } };
  for (const HttpHeader& header : cases) {
    CAPTURE(header.name);
    CHECK_FALSE(IsOk(HeadersForServer({ header }, {})));
  }
}

TEST_CASE("the caller's key is read from a single well-formed Authorization header")
{
  struct KeyCase
  {
    std::vector<HttpHeader> headers;
    bool valid;
    const char* key;
  };
  const KeyCase cases[] = {
    { {}, true, nullptr },
    { { { "Authorization", "Bearer abc" } }, true, "abc" },
    { { { "authorization", "bearer  abc " } }, true, "abc" },
    { { { "Authorization", "Bearer" } }, false, nullptr },
    { { { "Authorization", "Basic abc" } }, false, nullptr },
    { { { "Authorization", "Bearer abc def" } }, false, nullptr },
    { { { "Authorization", "Bearer abc" }, { "AUTHORIZATION", "Bearer abc" } }, false, nullptr },
  };
  for (const KeyCase& entry : cases) {
    CAPTURE(entry.headers.size(), entry.valid);
    const auto read = ReadCallerKey(entry.headers);
    REQUIRE(IsOk(read) == entry.valid);
    if (entry.valid) {
      CHECK(ValueOf(read).value_or("none") == (entry.key == nullptr ? "none" : entry.key));
    }
  }
}

TEST_CASE("a key outside the Authorization header is detected")
{
  struct LeakCase
  {
    const char* what;
    std::string target;
    HttpHeader header;
    std::string body;
    bool leaks;
  };
  const LeakCase cases[] = {
    { "none", "/a?b=c", { "X", "1" }, "text", false },
    { "own in authorization", "/a", { "AuthorizatioN", "Bearer " + kKey }, "", false },
    { "own in query", "/a?b=" + kKey, { "X", "1" }, "", true },
    { "own in path", "/" + kKey, { "X", "1" }, "", true },
    { "own escaped in query", "/a?b=%6b-7f3a9b", { "X", "1" }, "", true },
    { "own escaped twice", "/a?b=%256b-7f3a9b", { "X", "1" }, "", true },
    { "own in another header", "/a", { "X-Api-Key", kKey }, "", true },
    { "own in a cookie", "/a", { "Cookie", "s=1; k=" + kKey }, "", true },
    { "own in a header's name", "/a", { "X-" + kKey, "1" }, "", true },
    { "own in the body", "/a", { "X", "1" }, "key=" + kKey + "&", true },
    { "another's in a header", "/a", { "X", "k " + kIssuedKey }, "", true },
    { "another's in the body", "/a", { "X", "1" }, "[\"" + kIssuedKey + "\"]", true },
    { "64 other digits", "/a", { "X", std::string(64, 'b') }, "", false },
    { "more than 64 digits", "/a", { "X", kIssuedKey + "a" }, "", false },
  };
  for (const LeakCase& entry : cases) {
    INFO(entry.what);
    HttpRequest request;
    request.target = entry.target;
    request.headers.Add(entry.header.name, entry.header.value);
    request.body = entry.body;
    CHECK(HasKeyOutsideAuthorization(request, kKey, IsIssuedKey) == entry.leaks);
  }
}

TEST_CASE("paths that servers may interpret differently are rejected")
{
  struct PathCase
  {
    const char* target;
    const char* path;
  };
  const PathCase cases[] = {
    { "/lessons?page=2", "/lessons" },
    { "/%70ay", "/pay" },
    { "/a%20b", "/a b" },
    { "/a/", "/a/" },
    { "/a/../b", nullptr },
    { "/a/%2e%2e/b", nullptr },
    { "/a/..;x/b", nullptr },
    { "/a%2fb", nullptr },
    { "/a\\b", nullptr },
    { "/a%5cb", nullptr },
    { "//a", nullptr },
    { "a", nullptr },
    { "http://x/a", nullptr },
    { "/a%zz", nullptr },
    { "/a%0", nullptr },
    { "/a%00", nullptr },
    { "/a%252e", nullptr },
    { "/a b", nullptr },
    { "/a?b=\x01", nullptr },
    { "*", nullptr },
  };
  for (const PathCase& entry : cases) {
    CAPTURE(entry.target);
    const auto read = ReadPath(entry.target);
    REQUIRE(IsOk(read) == (entry.path != nullptr));
    if (entry.path != nullptr) {
      CHECK(ValueOf(read) == entry.path);
    }
  }
}

TEST_CASE("Plantainhaven- and hop-by-hop headers of a backend server don't reach the caller")
{
  const std::vector<HttpHeader> kept = HeadersForCaller({ { "Content-Type", "text/plain" },
                                                          { "Plantainhaven-Not-Run", "true" },
                                                          { "plantainhaven_not_run", "true" },
                                                          { "Connection", "X-Hop" },
                                                          { "X-Hop", "1" },
                                                          { "Content-Length", "3" } });
  REQUIRE(kept.size() == 1);
  CHECK(kept[0].name == "Content-Type");
}
