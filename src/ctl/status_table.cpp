#include "ctl/status_table.h"

#include "ctl/ctl_error.h"
#include "ctl/text_table.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdio>
#include <map>

namespace briarpoint {

namespace {

using nlohmann::json;

std::string show(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string yesNo(const json &Value) { return Value.get<bool>() ? "yes" : "no"; }

std::string percent(std::uint64_t Part, std::uint64_t Whole) {
  char Text[16];
  std::snprintf(Text, sizeof(Text), "%.1f%%",
                Whole == 0 ? 0.0 : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole));
  return Text;
}

std::string formatMembers(const json &Members) {
  text_table Table({"MEMBER", "DATA CENTRE", "STATE", "INCARNATION", "SUSPECTED"});
  for (const json &Member : Members)
    Table.add({show(Member.at("name")), show(Member.at("data_centre")), show(Member.at("state")),
               show(Member.at("incarnation")), yesNo(Member.at("suspected"))});
  return Table.format();
}

/// The share is the target's part of the open flows of its service at this balancer.
std::string formatTargets(const json &Targets) {
  std::map<std::string, std::uint64_t> Totals;
  for (const json &Target : Targets)
    Totals[Target.at("service")] += Target.at("open_flows").get<std::uint64_t>();
  text_table Table({"TARGET", "HEALTH", "NEW FLOWS", "WEIGHT", "OPEN FLOWS", "SHARE"});
  for (const json &Target : Targets) {
    const std::string Service = Target.at("service");
    char Weight[16];
    std::snprintf(Weight, sizeof(Weight), "%.2f", Target.at("weight").get<double>());
    Table.add({Service + "/" + Target.at("name").get<std::string>(), show(Target.at("health")),
               yesNo(Target.at("accepts_new")), Weight, show(Target.at("open_flows")),
               percent(Target.at("open_flows").get<std::uint64_t>(), Totals[Service])});
  }
  return Table.format();
}

std::string formatClasses(const json &Status) {
  text_table Table({"CLASS", "ADMITTED", "REJECTED"});
  for (const char *Class : {"critical", "normal", "bulk"})
    Table.add(
        {Class, show(Status.at("admitted").at(Class)), show(Status.at("rejected").at(Class))});
  return Table.format();
}

std::string formatDropped(const json &Dropped) {
  std::string Text;
  for (const auto &[Reason, Count] : Dropped.items())
    if (Count != 0)
      Text += (Text.empty() ? "" : ", ") + Reason + " " + show(Count);
  return "  dropped packets: " + (Text.empty() ? "none" : Text) + "\n";
}

template <typename T> std::string format(const char *What, std::string_view Text, const T &Write) {
  try {
    return Write(json::parse(Text));
  } catch (const json::exception &Error) {
    throw ctl_error(exit_code::UnexpectedAnswer,
                    std::string("the balancer's ") + What + " isn't understood: " + Error.what());
  }
}

} // namespace

std::string formatStatus(std::string_view StatusJson) {
  return format("status", StatusJson, [](const json &Status) {
    const json &Flows = Status.at("flows");
    return show(Status.at("name")) + " (" + show(Status.at("data_centre")) +
           "): " + (Status.at("ready").get<bool>() ? "ready" : "not ready") + ", version " +
           show(Status.at("version")) + "\n" + "  flows: " + show(Flows.at("records")) +
           " records, " + show(Flows.at("owned")) + " owned, " + show(Flows.at("opened")) +
           " opened, " + show(Flows.at("reset")) + " reset, " + show(Flows.at("silent")) +
           " silent\n" + formatDropped(Status.at("dropped")) + formatClasses(Status) +
           formatMembers(Status.at("members")) + formatTargets(Status.at("targets"));
  });
}

std::string formatHistory(std::string_view HistoryJson) {
  return format("history", HistoryJson, [](const json &History) {
    const json &Entries = History.is_array() ? History : History.at("history");
    text_table Table({"VERSION", "PATCH"});
    for (auto Entry = Entries.rbegin(); Entry != Entries.rend(); ++Entry)
      Table.add({show(Entry->at("version")), show(Entry->at("id"))});
    return Table.format();
  });
}

} // namespace briarpoint
