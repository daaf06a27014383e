#include "forwarder/store_call_log.h"

namespace briarpoint {

namespace {

std::string milliseconds(duration Time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

void store_call_log::onCallSent(const store_call &Call) {
  Log.write(log_event::StoreAsked, {{"kind", Kind},
                                    {"call", std::string(toString(Call.Type))},
                                    {"revision", std::to_string(Call.Revision)},
                                    {"wait_ms", milliseconds(Call.WaitEndsAt - Call.SentAt)}});
}

void store_call_log::onCallEnded(const store_call &Call, call_outcome Outcome,
                                 std::uint64_t Revision, std::size_t Objects) {
  logEnd(Call, toString(Outcome), Revision, Objects);
}

void store_call_log::onCallDropped(const store_call &Call) { logEnd(Call, "dropped", 0, 0); }

void store_call_log::onCheckEnded(const store_position &CheckedFrom, const watch_answer &Answer) {
  Log.write(log_event::StoreChecked, {{"kind", Kind},
                                      {"checked_from", std::to_string(CheckedFrom.Revision)},
                                      {"outcome", std::string(toString(Answer.Outcome))},
                                      {"revision", std::to_string(Answer.Revision)},
                                      {"changes", std::to_string(Answer.Changes.size())}});
}

void store_call_log::logEnd(const store_call &Call, std::string_view Outcome,
                            std::uint64_t Revision, std::size_t Objects) {
  Log.write(log_event::StoreAnswered, {{"kind", Kind},
                                       {"call", std::string(toString(Call.Type))},
                                       {"asked_revision", std::to_string(Call.Revision)},
                                       {"after_ms", milliseconds(Clock.now() - Call.SentAt)},
                                       {"outcome", std::string(Outcome)},
                                       {"revision", std::to_string(Revision)},
                                       {"objects", std::to_string(Objects)}});
}

} // namespace briarpoint
