#include "plantainhaven/common/log.h"

#include "plantainhaven/common/log_sampler.h"
#include "plantainhaven/common/time.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <mutex>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

namespace plantainhaven {

namespace {

namespace log = boost::log;
using Backend = log::sinks::text_ostream_backend;

// Maximum number of lines queued for the writer thread; about half a megabyte when full.
constexpr std::size_t kQueueCapacity = 2048;
// Maximum number of lines written per second for each event.
constexpr std::uint32_t kLinesPerSecond = 40;

std::atomic<std::uint64_t> gDroppedLines{ 0 };

// Drops a line when the queue is full, so that a blocked reader of the log never delays a
// request.
struct DropOnOverflow
{
  // Boost.Log requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  template<typename Lock>
  static bool on_overflow(const log::record_view&, Lock&)
  {
    ++gDroppedLines;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
  // NOLINTEND(readability-identifier-naming)
};

using Queue = log::sinks::bounded_fifo_queue<kQueueCapacity, DropOnOverflow>;
using Sink = log::sinks::asynchronous_sink<Backend, Queue>;
using Source = log::sources::severity_logger_mt<LogLevel>;

constexpr std::array kLevelNames = { "debug", "info", "warning", "error" };
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;

struct LogOptions
{
  std::string program = "plantainhaven";
  std::atomic<LogLevel> minLevel = LogLevel::kInfo;
};

LogOptions&
CurrentOptions()
{
  static LogOptions sOptions;
  return sOptions;
}

// Returns the sink of this process; null while the log isn't open.
boost::shared_ptr<Sink>&
SharedSink()
{
  static boost::shared_ptr<Sink> sSink;
  return sSink;
}

// The sampler of this process and the mutex that guards it.
struct SharedSampler
{
  std::mutex mutex;
  LogSampler sampler{ kLinesPerSecond };
};

SharedSampler&
Sampler()
{
  static SharedSampler sSampler;
  return sSampler;
}

LogSampler::Decision
CheckLimit(std::string_view aEvent)
{
  SharedSampler& shared = Sampler();
  const std::lock_guard<std::mutex> lock(shared.mutex);
  return shared.sampler.CheckLimit(aEvent, BootClock::Now());
}

Source&
SharedSource()
{
  static Source sSource;
  return sSource;
}

LogLevel
ParseLevel(std::string_view aWord)
{
  for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
    if (aWord == kLevelNames[index]) {
      return static_cast<LogLevel>(index);
    }
  }
  return LogLevel::kInfo;
}

std::string
UtcNow()
{
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  std::tm parts{};
  ::gmtime_r(&now.tv_sec, &parts);
  std::array<char, 32> seconds{};
  std::strftime(seconds.data(), seconds.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 48> text{};
  std::snprintf(text.data(),
                text.size(),
                "%s.%03ldZ",
                seconds.data(),
                static_cast<long>(now.tv_nsec / kNanosecondsPerMillisecond));
  return text.data();
}

bool
NeedsQuotes(std::string_view aValue)
{
  for (const char character : aValue) {
    const auto code = static_cast<unsigned char>(character);
    if (code <= ' ' || character == '"' || character == '=' || character == '\\') {
      return true;
    }
  }
  return aValue.empty();
}

void
AppendQuoted(std::string& aLine, std::string_view aValue)
{
  aLine += '"';
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      aLine += '\\';
    }
    aLine += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
  }
  aLine += '"';
}

void
AppendField(std::string& aLine, std::string_view aKey, std::string_view aValue)
{
  if (!aLine.empty()) {
    aLine += ' ';
  }
  aLine += aKey;
  aLine += '=';
  if (NeedsQuotes(aValue)) {
    AppendQuoted(aLine, aValue);
  } else {
    aLine += aValue;
  }
}

std::string
FormatLine(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  std::string line;
  AppendField(line, "time", UtcNow());
  AppendField(line, "level", kLevelNames[static_cast<std::size_t>(aLevel)]);
  AppendField(line, "program", CurrentOptions().program);
  AppendField(line, "event", aEvent);
  for (const LogField& field : aFields) {
    AppendField(line, field.key, field.value);
  }
  return line;
}

void
CloseSink()
{
  boost::shared_ptr<Sink>& sink = SharedSink();
  if (sink != nullptr) {
    log::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
    sink.reset();
  }
}

void
OpenSink()
{
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  log::core::get()->add_sink(sink);
  SharedSink() = sink;
  // The writer thread must stop before the libraries that it uses are destroyed. The exit
  // handler must not write a line, since Boost.Log's thread-local data is destroyed by then.
  std::atexit(CloseSink);
}

} // namespace

LogField::LogField(std::string_view aKey, std::string_view aValue)
  : key(aKey)
  , value(aValue)
{
}

LogField::LogField(std::string_view aKey, const char* aValue)
  : key(aKey)
  , value(aValue == nullptr ? "" : aValue)
{
}

LogField::LogField(std::string_view aKey, bool aValue)
  : key(aKey)
  , value(aValue ? "true" : "false")
{
}

void
StartLog(std::string_view aProgram, std::string_view aLevel)
{
  CurrentOptions().program = aProgram;
  SetLogLevel(aLevel);
  static std::once_flag sOnce;
  std::call_once(sOnce, OpenSink);
}

void
SetLogLevel(std::string_view aLevel)
{
  CurrentOptions().minLevel = ParseLevel(aLevel);
}

void
StopLog()
{
  if (SharedSink() == nullptr) {
    return;
  }
  for (const auto& [event, count] : Sampler().sampler.TakeSuppressedCounts()) {
    const std::string text = std::to_string(count);
    BOOST_LOG_SEV(SharedSource(), LogLevel::kInfo)
      << FormatLine(LogLevel::kInfo, "log_left_out", { { "of", event }, { "left_out", text } });
  }
  CloseSink();
}

void
Log(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  const LogOptions& options = CurrentOptions();
  if (aLevel < options.minLevel) {
    return;
  }
  const LogSampler::Decision decision = CheckLimit(aEvent);
  if (!decision.shouldWrite) {
    return;
  }
  std::string line = FormatLine(aLevel, aEvent, aFields);
  if (decision.suppressed > 0) {
    AppendField(line, "left_out", std::to_string(decision.suppressed));
  }
  if (const std::uint64_t dropped = gDroppedLines.exchange(0); dropped > 0) {
    AppendField(line, "dropped", std::to_string(dropped));
  }
  BOOST_LOG_SEV(SharedSource(), aLevel) << line;
}

} // namespace plantainhaven
