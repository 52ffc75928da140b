#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhaven {

// One header field. Names compare without regard to case.
struct HttpHeader
{
  std::string name;
  std::string value;
};

// Headers in order of arrival; duplicates are kept.
class HttpHeaders
{
public:
  // First value of a name, empty when there is none.
  std::string_view Get(std::string_view aName) const;
  // How often a name occurs.
  std::size_t CountOf(std::string_view aName) const;
  void Add(std::string aName, std::string aValue);
  // Removes every occurrence of a name.
  void Remove(std::string_view aName);
  const std::vector<HttpHeader>& All() const { return this->fields; }

private:
  std::vector<HttpHeader> fields;
};

struct HttpRequest
{
  std::string method;
  // Path with query, as it came: "/lessons?page=2".
  std::string target;
  std::string path;
  HttpHeaders headers;
  std::string body;
  // IP number of the other end; empty when not known.
  std::string remoteAddress = {};
  // TCP port of the other end, which tells its connections apart; 0 when not known.
  std::uint16_t remotePort = 0;

  // Value of a query parameter, decoded; empty when absent.
  std::string Query(std::string_view aName) const;
};

// Called repeatedly to send a long answer in pieces. Appends bytes to `aPiece`;
// returns false when nothing more follows. `aAbort` set to true cuts the connection
// so that the other end can't take the answer for whole.
using HttpBodySource = std::function<bool(std::string& aPiece, bool& aAbort)>;

struct HttpResponse
{
  int status = 200;
  HttpHeaders headers;
  std::string body;
  // When set, the body comes from here in chunks instead.
  HttpBodySource source = {};
  // True to close the connection after this answer.
  bool close = false;
};

// Makes a JSON answer.
HttpResponse
JsonResponse(int aStatus, std::string aJson);

} // namespace plantainhaven
