#include "edge/settings_watch.h"

#include "plantainhaven/common/log.h"
#include "plantainhaven/common/settings.h"

#include <fstream>
#include <google/protobuf/util/message_differencer.h>
#include <sstream>
#include <utility>

namespace plantainhaven::edge {
namespace {

using google::protobuf::util::MessageDifferencer;

std::string
ReadFile(const std::string& aFile)
{
  std::ifstream input(aFile);
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

void
LogInvalidFile(const std::string& aFile, const Error& aError)
{
  Log(LogLevel::kError,
      "settings_unusable",
      { { "file", aFile },
        { "error", aError.message },
        { "remedy", aError.remedy },
        { "note", "the current settings remain in force" } });
}

} // namespace

Result<ChangedSettings>
DecodeSettings(const EdgedSettings& aSettings)
{
  const auto bounds = platform::ParseBounds(
    { aSettings.bounds().values().begin(), aSettings.bounds().values().end() });
  if (!IsOk(bounds)) {
    return ErrorOf(bounds);
  }
  const auto regions = platform::ParseRegionByDomain(
    { aSettings.places().failure_domains().begin(), aSettings.places().failure_domains().end() });
  if (!IsOk(regions)) {
    return ErrorOf(regions);
  }
  return ChangedSettings{
    ValueOf(bounds), ValueOf(regions), aSettings.store().address(), aSettings.log().level()
  };
}

SettingsWatch::SettingsWatch(std::string aFile, EdgedSettings aCurrent)
  : file(std::move(aFile))
  , text(ReadFile(this->file))
  , current(std::move(aCurrent))
{
}

std::optional<ChangedSettings>
SettingsWatch::ReadIfChanged()
{
  std::string found = ReadFile(this->file);
  if (found == this->text) {
    return std::nullopt;
  }
  this->text = std::move(found);
  EdgedSettings settings;
  std::istringstream input(this->text);
  const auto read = ReadSettings(input, this->file, settings);
  if (!IsOk(read)) {
    LogInvalidFile(this->file, ErrorOf(read));
    return std::nullopt;
  }
  auto decoded = DecodeSettings(settings);
  if (!IsOk(decoded)) {
    LogInvalidFile(this->file, ErrorOf(decoded));
    return std::nullopt;
  }
  const bool needsRestart = !MessageDifferencer::Equals(settings.vm(), this->current.vm()) ||
                            !MessageDifferencer::Equals(settings.listen(), this->current.listen());
  Log(LogLevel::kInfo, "settings_changed", { { "file", this->file } });
  if (needsRestart) {
    Log(LogLevel::kWarning,
        "settings_need_restart",
        { { "sections", "vm, listen" }, { "remedy", "Restart the process to apply them." } });
  }
  this->current = std::move(settings);
  return ValueOf(decoded);
}

} // namespace plantainhaven::edge
