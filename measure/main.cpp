#include "measure/case_catalog.h"

#include <cxxopts.hpp>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

using namespace briarpoint::measure;

namespace {

/// Returns whether \p NameOrPrefix is the name of a case or the first part of it, up to a slash.
bool matchesName(const measure_case &Case, const std::string &NameOrPrefix) {
  return Case.Name == NameOrPrefix || Case.Name.rfind(NameOrPrefix + "/", 0) == 0;
}

/// Runs the cases on a number of threads and prints each report when its case ends. Returns the
/// number of cases that failed.
int runCases(const std::vector<const measure_case *> &Cases, std::uint64_t Seed,
             std::uint32_t Scale, unsigned Threads) {
  std::atomic<std::size_t> Next{0};
  std::atomic<int> Failed{0};
  std::mutex Output;
  const auto Work = [&] {
    for (std::size_t I = Next++; I < Cases.size(); I = Next++) {
      const report Report = Cases[I]->Run(Seed, Scale);
      Failed += Report.passed() ? 0 : 1;
      const std::lock_guard Lock(Output);
      std::cout << Report.jsonLine() << std::endl;
    }
  };
  std::vector<std::thread> Pool;
  for (unsigned I = 0; I < Threads; ++I)
    Pool.emplace_back(Work);
  for (std::thread &Thread : Pool)
    Thread.join();
  return Failed;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("measure", "Measures the core against the bounds of the design page.");
  Options.add_options()("list", "name the cases")("all", "run all cases")(
      "case", "run one case, or all whose names begin with this part",
      cxxopts::value<std::string>())("seed", "seed of the run",
                                     cxxopts::value<std::uint64_t>()->default_value("1"))(
      "scale", "divide the load, for trials only",
      cxxopts::value<std::uint32_t>()->default_value("1"))(
      "threads", "cases that run at the same time",
      cxxopts::value<unsigned>()->default_value("8"))("help", "show this text");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    std::vector<const measure_case *> Chosen;
    for (const measure_case &Case : caseCatalog()) {
      if (Parsed.count("list") > 0)
        std::cout << Case.Name << '\n';
      if (Parsed.count("all") > 0 ||
          (Parsed.count("case") > 0 && matchesName(Case, Parsed["case"].as<std::string>())))
        Chosen.push_back(&Case);
    }
    if (Parsed.count("list") > 0)
      return 0;
    if (Chosen.empty()) {
      std::cerr << Options.help();
      return 2;
    }
    return runCases(Chosen, Parsed["seed"].as<std::uint64_t>(), Parsed["scale"].as<std::uint32_t>(),
                    Parsed["threads"].as<unsigned>()) == 0
               ? 0
               : 1;
  } catch (const std::exception &Error) {
    std::cerr << "measure: " << Error.what() << '\n';
    return 2;
  }
}
