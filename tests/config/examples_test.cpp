#include "config/config_text.h"
#include "config/config_toml.h"
#include "config/settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace briarpoint {
namespace {

namespace fs = std::filesystem;

const fs::path Folder = fs::path(BRIARPOINT_SOURCE_DIR) / "examples";

std::string readFile(const fs::path &Path) {
  std::ifstream File(Path);
  EXPECT_TRUE(File) << Path;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

configuration readConfiguration(const fs::path &Path) {
  return parseConfigurationText(readFile(Path), Path.filename());
}

// Guards against examples that no longer match the parser.
TEST(examples, EachFileIsValid) {
  int Files = 0;
  for (const fs::directory_entry &Entry : fs::directory_iterator(Folder)) {
    const std::string Name = Entry.path().filename();
    SCOPED_TRACE(Name);
    ++Files;
    if (Name == "local.toml" || Name.ends_with("-settings.toml"))
      EXPECT_NO_THROW(parseSettings(readFile(Entry), Name));
    else if (Name.ends_with("-configuration.toml"))
      EXPECT_NO_THROW(readConfiguration(Entry));
    else if (Name.ends_with("-patch.toml"))
      EXPECT_NO_THROW(parsePatchToml(readFile(Entry), Name));
    else
      ADD_FAILURE() << "the name doesn't tell what the example contains";
  }
  EXPECT_EQ(Files, 9);
}

// Guards against an example patch that doesn't apply to its operator's example configuration.
TEST(examples, PatchesApplyToTheConfigurationOfTheirOperator) {
  for (const std::string Operator : {"shop", "storage"}) {
    SCOPED_TRACE(Operator);
    const configuration Before = readConfiguration(Folder / (Operator + "-configuration.toml"));
    const patch Patch = parsePatchToml(readFile(Folder / (Operator + "-patch.toml")), "patch");
    EXPECT_EQ(applyPatch(Before, Patch).Version, Before.Version + 1);
  }
}

// Guards against examples whose sizes differ from those of the operators' services.
TEST(examples, ConfigurationsHaveTheSizesOfTheOperators) {
  for (const std::string Operator : {"shop", "storage"}) {
    SCOPED_TRACE(Operator);
    const configuration Configuration =
        readConfiguration(Folder / (Operator + "-configuration.toml"));
    std::vector<std::size_t> Sizes;
    for (const service_config &Service : Configuration.Services)
      Sizes.push_back(Service.Targets.size());
    std::sort(Sizes.begin(), Sizes.end());
    EXPECT_EQ(Sizes, (std::vector<std::size_t>{4, 14}));
  }
}

// Guards against local settings whose configuration file is missing, malformed or empty.
TEST(examples, LocalSettingsNameAConfigurationThatExists) {
  const settings Settings = parseSettings(readFile(Folder / "local.toml"), "local.toml");
  EXPECT_FALSE(Settings.Platform.has_value());
  EXPECT_FALSE(readConfiguration(fs::path(BRIARPOINT_SOURCE_DIR) / Settings.ConfigurationFile)
                   .Services.empty());
}

} // namespace
} // namespace briarpoint
