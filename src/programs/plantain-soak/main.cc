#include "soak.h"

#include "plantainhaven/common/program.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>

namespace {

namespace options = boost::program_options;

plantainhaven::soak::SoakOptions
Read(const options::variables_map& aGiven, std::uint64_t aSeed)
{
  plantainhaven::soak::SoakOptions soak;
  soak.seed = aSeed;
  soak.length = std::chrono::seconds(aGiven["seconds"].as<int>());
  soak.vms = aGiven["vms"].as<int>();
  soak.servers = aGiven["servers"].as<int>();
  soak.callers = aGiven["callers"].as<int>();
  soak.program = aGiven["program"].as<std::string>();
  soak.otherProgram = aGiven["other-program"].as<std::string>();
  soak.folder = aGiven["folder"].as<std::string>() + "/seed-" + std::to_string(aSeed);
  return soak;
}

// Runs one seed; returns true when there are no violations.
bool
RunSeed(const options::variables_map& aGiven, std::uint64_t aSeed)
{
  const auto soak = Read(aGiven, aSeed);
  std::filesystem::remove_all(soak.folder);
  plantainhaven::soak::Soak run(soak);
  const auto broken = run.Run();
  for (const std::string& line : broken) {
    std::cout << "event=soak_broken seed=" << aSeed << " what=\"" << line << "\"\n";
  }
  std::cout << "event=soak_end seed=" << aSeed << " broken=" << broken.size() << " "
            << run.Summary() << " logs=" << soak.folder << std::endl;
  return broken.empty();
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  std::signal(SIGPIPE, SIG_IGN);
  options::options_description description(
    "plantain-soak: injects random faults into running VMs and checks "
    "what callers and backend servers see");
  description.add_options()("help", "Print this text.")(
    "seed", options::value<std::uint64_t>()->default_value(1), "First seed.")(
    "seeds", options::value<int>()->default_value(1), "Seeds to run, one after the other.")(
    "seconds", options::value<int>()->default_value(30), "Length of one run.")(
    "vms", options::value<int>()->default_value(4), "VMs.")(
    "servers", options::value<int>()->default_value(6), "Backend servers.")(
    "callers", options::value<int>()->default_value(24), "Callers.")(
    "program", options::value<std::string>()->required(), "Path of plantain-edged.")(
    "other-program",
    options::value<std::string>()->default_value(""),
    "Path of another build of plantain-edged. VMs begin with it and change the build with each "
    "restart.")("folder", options::value<std::string>()->default_value("soak"), "Folder for logs.");
  try {
    options::variables_map given;
    options::store(options::parse_command_line(aArgc, aArgv, description), given);
    if (given.count("help") > 0) {
      std::cout << description;
      return plantainhaven::kExitOk;
    }
    options::notify(given);
    bool isGood = true;
    const auto first = given["seed"].as<std::uint64_t>();
    for (int i = 0; i < given["seeds"].as<int>(); ++i) {
      isGood = RunSeed(given, first + static_cast<std::uint64_t>(i)) && isGood;
    }
    return isGood ? plantainhaven::kExitOk : plantainhaven::kExitFailure;
  } catch (const options::error& fault) {
    std::cerr << fault.what() << "\n" << description;
    return plantainhaven::kExitUsage;
  } catch (const std::exception& fault) {
    std::cerr << "plantain-soak: " << fault.what() << "\n";
    return plantainhaven::kExitFailure;
  }
}
