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

// Lines that wait for the writer; about half a megabyte when full.
constexpr std::size_t kQueuedLines = 2048;
// Lines of one kind a second.
constexpr std::uint32_t kLinesPerSecond = 40;

std::atomic<std::uint64_t> gDropped{ 0 };

// Leaves a line out when the queue is full, so that a reader of the log that stands still
// never holds a request.
struct CountDropped
{
  // Boost.Log calls these names.
  // NOLINTBEGIN(readability-identifier-naming)
  template<typename Lock>
  static bool on_overflow(const log::record_view&, Lock&)
  {
    ++gDropped;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
  // NOLINTEND(readability-identifier-naming)
};

using Queue = log::sinks::bounded_fifo_queue<kQueuedLines, CountDropped>;
using Sink = log::sinks::asynchronous_sink<Backend, Queue>;
using Source = log::sources::severity_logger_mt<LogLevel>;

constexpr std::array kLevelNames = { "debug", "info", "warning", "error" };
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;

struct Settings
{
  std::string program = "plantainhaven";
  std::atomic<LogLevel> least = LogLevel::kInfo;
};

Settings&
CurrentSettings()
{
  static Settings sSettings;
  return sSettings;
}

// The sink of this process while the log is open.
boost::shared_ptr<Sink>&
SharedSink()
{
  static boost::shared_ptr<Sink> sSink;
  return sSink;
}

// The sampler of this process with the lock that goes with it.
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

LogSampler::Verdict
Judge(std::string_view aEvent)
{
  SharedSampler& shared = Sampler();
  const std::lock_guard<std::mutex> lock(shared.mutex);
  return shared.sampler.Judge(aEvent, BootClock::Now());
}

Source&
SharedSource()
{
  static Source sSource;
  return sSource;
}

LogLevel
LevelFromWord(std::string_view aWord)
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
  for (const char letter : aValue) {
    const auto code = static_cast<unsigned char>(letter);
    if (code <= ' ' || letter == '"' || letter == '=' || letter == '\\') {
      return true;
    }
  }
  return aValue.empty();
}

void
AppendQuoted(std::string& aLine, std::string_view aValue)
{
  aLine += '"';
  for (const char letter : aValue) {
    if (letter == '"' || letter == '\\') {
      aLine += '\\';
    }
    aLine += static_cast<unsigned char>(letter) < ' ' ? ' ' : letter;
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
Line(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  std::string line;
  AppendField(line, "time", UtcNow());
  AppendField(line, "level", kLevelNames[static_cast<std::size_t>(aLevel)]);
  AppendField(line, "program", CurrentSettings().program);
  AppendField(line, "event", aEvent);
  for (const LogField& field : aFields) {
    AppendField(line, field.key, field.value);
  }
  return line;
}

void
EndSink()
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
AddSink()
{
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  log::core::get()->add_sink(sink);
  SharedSink() = sink;
  // The writer must end before the libraries that it uses. No line may be written as late as
  // this: what Boost.Log keeps for each thread is gone by then.
  std::atexit(EndSink);
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
  CurrentSettings().program = aProgram;
  SetLogLevel(aLevel);
  static std::once_flag sOnce;
  std::call_once(sOnce, AddSink);
}

void
SetLogLevel(std::string_view aLevel)
{
  CurrentSettings().least = LevelFromWord(aLevel);
}

void
StopLog()
{
  if (SharedSink() == nullptr) {
    return;
  }
  for (const auto& [event, count] : Sampler().sampler.TakeCounts()) {
    const std::string text = std::to_string(count);
    BOOST_LOG_SEV(SharedSource(), LogLevel::kInfo)
      << Line(LogLevel::kInfo, "log_left_out", { { "of", event }, { "left_out", text } });
  }
  EndSink();
}

void
Log(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  const Settings& settings = CurrentSettings();
  if (aLevel < settings.least) {
    return;
  }
  const LogSampler::Verdict verdict = Judge(aEvent);
  if (!verdict.isWritten) {
    return;
  }
  std::string line = Line(aLevel, aEvent, aFields);
  if (verdict.leftOut > 0) {
    AppendField(line, "left_out", std::to_string(verdict.leftOut));
  }
  if (const std::uint64_t dropped = gDropped.exchange(0); dropped > 0) {
    AppendField(line, "dropped", std::to_string(dropped));
  }
  BOOST_LOG_SEV(SharedSource(), aLevel) << line;
}

} // namespace plantainhaven
