#include "plantainhaven/standin/store_standin.h"

#include "edge/net.h"
#include "edge/simple_server.h"
#include "platform/base64.h"
#include "platform/names.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace plantainhaven::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using edge::Into;
using edge::QueryValue;
using edge::Sleep;
using edge::Task;
using edge::Tcp;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::uint64_t kMostBodyBytes = 4 << 20;
constexpr std::chrono::milliseconds kLongestFeed{ 30000 };
// Interval at which a rows-feed call checks for changes.
constexpr std::chrono::milliseconds kFeedLook{ 10 };
// Unit in which a response crosses a narrow link.
constexpr std::size_t kPacketBytes = 4096;
// Tables that callers may not write to.
constexpr const char* kReservedTables[] = { "op", "servers" };

struct Reply
{
  unsigned status = 200;
  Json body = Json::object();
  // The connection is closed without a response.
  bool isLost = false;
};

RowPlace
PlaceOf(const Json& aEntry)
{
  return { aEntry.at("table").get<std::string>(),
           aEntry.value("part", std::string()),
           aEntry.at("key").get<std::string>() };
}

RowTransaction
DecodeTransaction(const Json& aBody)
{
  RowTransaction transaction;
  for (const Json& entry : aBody.value("precondition", Json::array())) {
    transaction.conditions.push_back({ PlaceOf(entry), entry.at("ver").get<std::uint64_t>() });
  }
  for (const Json& entry : aBody.value("puts", Json::array())) {
    const auto value = platform::DecodeBase64(entry.at("value").get<std::string>());
    if (!value) {
      throw Json::other_error::create(501, "value isn't base64", &entry);
    }
    transaction.puts.push_back({ PlaceOf(entry), *value, 0, false });
  }
  for (const Json& entry : aBody.value("remove", Json::array())) {
    transaction.removals.push_back(PlaceOf(entry));
  }
  return transaction;
}

Json
EncodeRows(const std::vector<StoredRow>& aRows)
{
  Json rows = Json::array();
  for (const StoredRow& row : aRows) {
    Json entry{ { "table", row.place.table },
                { "part", row.place.part },
                { "key", row.place.key },
                { "ver", row.version } };
    if (row.isRemoved) {
      entry["removed"] = true;
    } else if (row.version > 0) {
      entry["value"] = platform::EncodeBase64(row.value);
    }
    rows.push_back(std::move(entry));
  }
  return rows;
}

std::uint64_t
NumberOf(std::string_view aTarget, std::string_view aName)
{
  return std::strtoull(QueryValue(aTarget, aName).c_str(), nullptr, 10);
}

bool
WritesReserved(const RowTransaction& aTransaction)
{
  const auto isReserved = [](const RowPlace& aPlace) {
    return std::any_of(std::begin(kReservedTables),
                       std::end(kReservedTables),
                       [&aPlace](const char* aTable) { return aPlace.table == aTable; });
  };
  const auto& puts = aTransaction.puts;
  const auto& removals = aTransaction.removals;
  return std::any_of(puts.begin(),
                     puts.end(),
                     [&](const StoredRow& aRow) { return isReserved(aRow.place); }) ||
         std::any_of(removals.begin(), removals.end(), isReserved);
}

} // namespace

struct StoreStandin::Impl : std::enable_shared_from_this<StoreStandin::Impl>
{
  Impl(asio::io_context& aContext, const Tcp::endpoint& aEndpoint)
    : context(aContext)
    , acceptor(edge::Listen(aContext, aEndpoint))
  {
  }

  Task<void> Accept();
  Task<void> Serve(Tcp::socket aSocket);
  // Returns the error that ended the connection, if any.
  Task<beast::error_code> SendAtLinkRate(beast::tcp_stream& aStream,
                                         const Response& aResponse) const;
  Task<Reply> Answer(Request aRequest);
  Task<Reply> Write(Json aBody);
  Task<Reply> Feed(std::string aTarget);
  Reply ReadRows(std::string_view aTarget) const;
  Reply Commit(const RowTransaction& aTransaction);
  Task<void> CommitLater(RowTransaction aTransaction, std::chrono::milliseconds aDelay);
  bool IsHit(const std::string& aCaller) const;
  Reply WithVersion(Json aBody) const;

  asio::io_context& context;
  Tcp::acceptor acceptor;
  StoreRows rows;
  StoreFaults faults;
  std::uint64_t calls = 0;
  int writes = 0;
  BootTime startedAt = BootClock::Now();
};

bool
StoreStandin::Impl::IsHit(const std::string& aCaller) const
{
  const auto& callers = this->faults.callers;
  const bool isListed =
    callers.empty() || std::find(callers.begin(), callers.end(), aCaller) != callers.end();
  return this->faults.outage != StoreOutage::kNone && isListed;
}

Reply
StoreStandin::Impl::WithVersion(Json aBody) const
{
  aBody["ver"] = this->rows.Version();
  aBody["now_ms"] = edge::ToMilliseconds(BootClock::Now() - this->startedAt).count();
  return { .status = 200, .body = std::move(aBody) };
}

Reply
StoreStandin::Impl::Commit(const RowTransaction& aTransaction)
{
  const CommitAnswer answer = this->rows.Commit(aTransaction);
  if (const auto* const malformed = std::get_if<Malformed>(&answer)) {
    return { .status = 400, .body = { { "error", malformed->reason } } };
  }
  if (const auto* const conflicted = std::get_if<Conflicted>(&answer)) {
    Reply reply = this->WithVersion({ { "rows", EncodeRows(conflicted->rows) } });
    reply.status = 412;
    return reply;
  }
  return this->WithVersion(Json::object());
}

Task<void>
StoreStandin::Impl::CommitLater(RowTransaction aTransaction, std::chrono::milliseconds aDelay)
{
  const auto self = this->shared_from_this();
  asio::steady_timer timer(this->context);
  co_await Sleep(timer, aDelay);
  this->Commit(aTransaction);
}

Task<Reply>
StoreStandin::Impl::Write(Json aBody)
{
  const RowTransaction transaction = DecodeTransaction(aBody);
  if (WritesReserved(transaction)) {
    co_return Reply{ .status = 403, .body = { { "error", "a table of the platform" } } };
  }
  ++this->writes;
  const StoreFaults& now = this->faults;
  if (now.lateEvery > 0 && this->writes % now.lateEvery == 0) {
    asio::co_spawn(this->context, this->CommitLater(transaction, now.lateBy), asio::detached);
    co_return Reply{ .isLost = true };
  }
  Reply reply = this->Commit(transaction);
  reply.isLost = now.loseEvery > 0 && this->writes % now.loseEvery == 0;
  co_return reply;
}

Reply
StoreStandin::Impl::ReadRows(std::string_view aTarget) const
{
  const RowPage page = this->rows.Read(QueryValue(aTarget, "table"),
                                       QueryValue(aTarget, "part"),
                                       QueryValue(aTarget, "from"),
                                       QueryValue(aTarget, "target"),
                                       NumberOf(aTarget, "limit"));
  return this->WithVersion({ { "rows", EncodeRows(page.rows) }, { "has_more", page.hasMore } });
}

Task<Reply>
StoreStandin::Impl::Feed(std::string aTarget)
{
  const std::string table = QueryValue(aTarget, "table");
  const std::uint64_t after = NumberOf(aTarget, "after");
  const std::chrono::milliseconds wait(NumberOf(aTarget, "wait_ms"));
  const BootTime until = BootClock::Now() + std::min(wait, kLongestFeed);
  asio::steady_timer timer(this->context);
  while (true) {
    const auto changes = this->rows.ChangesAfter(table, after);
    if (!changes) {
      co_return Reply{ .status = 410, .body = { { "error", "history is gone" } } };
    }
    const auto left = edge::ToMilliseconds(until - BootClock::Now());
    if (!changes->empty() || left.count() <= 0) {
      co_return this->WithVersion({ { "rows", EncodeRows(*changes) } });
    }
    co_await Sleep(timer, std::min(left, kFeedLook));
  }
}

Task<Reply>
StoreStandin::Impl::Answer(Request aRequest)
{
  const std::string target(aRequest.target());
  const std::string path = target.substr(0, target.find('?'));
  try {
    if (path == "/v1/rows-tx" && aRequest.method() == http::verb::post) {
      co_return co_await this->Write(Json::parse(aRequest.body()));
    }
    if (path == "/v1/rows-get") {
      co_return this->ReadRows(target);
    }
    if (path == "/v1/rows-feed") {
      co_return co_await this->Feed(target);
    }
  } catch (const Json::exception& fault) {
    co_return Reply{ .status = 400, .body = { { "error", fault.what() } } };
  }
  co_return Reply{ .status = 404, .body = { { "error", "no such call" } } };
}

Task<void>
StoreStandin::Impl::Serve(Tcp::socket aSocket)
{
  const auto self = this->shared_from_this();
  beast::error_code fault;
  const std::string caller = aSocket.remote_endpoint(fault).address().to_string();
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  asio::steady_timer timer(this->context);
  while (!fault) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMostBodyBytes);
    co_await http::async_read(stream, buffer, parser, Into(fault));
    if (fault) {
      break;
    }
    const Request request = parser.release();
    ++this->calls;
    co_await Sleep(timer, this->faults.delay);
    Reply reply;
    const bool isHit = this->IsHit(caller);
    if (isHit && this->faults.outage == StoreOutage::kReset) {
      stream.socket().set_option(asio::socket_base::linger(true, 0), fault);
      stream.close();
      break;
    }
    if (isHit && this->faults.outage == StoreOutage::kSilent) {
      co_await Sleep(timer, kLongestFeed);
      break;
    }
    if (isHit) {
      reply.status = this->faults.outage == StoreOutage::kTooMany ? 429 : 503;
    } else {
      reply = co_await this->Answer(request);
    }
    if (reply.isLost) {
      break;
    }
    Response response;
    response.result(reply.status);
    response.version(11);
    response.set(http::field::content_type, "application/json");
    response.set(platform::kEraHeader, std::to_string(this->rows.Era()));
    response.keep_alive(request.keep_alive());
    response.body() = reply.body.dump();
    response.prepare_payload();
    fault = co_await this->SendAtLinkRate(stream, response);
  }
}

Task<beast::error_code>
StoreStandin::Impl::SendAtLinkRate(beast::tcp_stream& aStream, const Response& aResponse) const
{
  beast::error_code fault;
  if (this->faults.bytesPerSecond == 0 && this->faults.stopsAfterBytes == 0) {
    co_await http::async_write(aStream, aResponse, Into(fault));
    co_return fault;
  }
  std::ostringstream text;
  text << aResponse;
  const std::string bytes = text.str();
  asio::steady_timer timer(this->context);
  for (std::size_t at = 0; at < bytes.size() && !fault; at += kPacketBytes) {
    if (this->faults.stopsAfterBytes > 0 && at >= this->faults.stopsAfterBytes) {
      co_await Sleep(timer, kLongestFeed);
      co_return beast::error_code(beast::error::timeout);
    }
    const std::size_t count = std::min(kPacketBytes, bytes.size() - at);
    co_await asio::async_write(aStream, asio::buffer(bytes.data() + at, count), Into(fault));
    if (this->faults.bytesPerSecond > 0) {
      co_await Sleep(timer, std::chrono::milliseconds(count * 1000 / this->faults.bytesPerSecond));
    }
  }
  co_return fault;
}

Task<void>
StoreStandin::Impl::Accept()
{
  const auto self = this->shared_from_this();
  beast::error_code fault;
  while (this->acceptor.is_open()) {
    Tcp::socket socket(this->context);
    co_await this->acceptor.async_accept(socket, Into(fault));
    if (!fault) {
      asio::co_spawn(this->context, this->Serve(std::move(socket)), asio::detached);
    }
  }
}

StoreStandin::StoreStandin(asio::io_context& aContext,
                           const std::string& aAddress,
                           std::uint16_t aPort)
  : impl(std::make_shared<Impl>(aContext, Tcp::endpoint(asio::ip::make_address(aAddress), aPort)))
{
  asio::co_spawn(aContext, this->impl->Accept(), asio::detached);
}

StoreStandin::~StoreStandin()
{
  beast::error_code ignored;
  this->impl->acceptor.close(ignored);
}

std::string
StoreStandin::Address() const
{
  const Tcp::endpoint endpoint = this->impl->acceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void
StoreStandin::SetFaults(StoreFaults aFaults)
{
  this->impl->faults = std::move(aFaults);
}

void
StoreStandin::Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
{
  this->impl->Commit({ {}, { { { aTable, "", aKey }, aValue, 0, false } }, {} });
}

void
StoreStandin::Remove(const std::string& aTable, const std::string& aKey)
{
  this->impl->Commit({ {}, {}, { { aTable, "", aKey } } });
}

void
StoreStandin::ForgetHistory()
{
  this->impl->rows.ForgetHistory();
}

void
StoreStandin::RewindTo(std::uint64_t aVersion)
{
  this->impl->rows.RewindTo(aVersion);
}

const StoreRows&
StoreStandin::Rows() const
{
  return this->impl->rows;
}

std::uint64_t
StoreStandin::Calls() const
{
  return this->impl->calls;
}

} // namespace plantainhaven::standin
