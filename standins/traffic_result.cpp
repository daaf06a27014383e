#include "standins/traffic_result.h"

#include <nlohmann/json.hpp>

namespace briarpoint {

std::string toJson(const traffic_result &Result) {
  return nlohmann::json{{"flows", Result.Flows},
                        {"finished", Result.Finished},
                        {"refused", Result.Refused},
                        {"broken", Result.Broken},
                        {"unanswered", Result.Unanswered},
                        {"wrong_service", Result.WrongService},
                        {"wrong_answer", Result.WrongAnswer},
                        {"running", Result.Running},
                        {"stray", Result.Stray},
                        {"malformed", Result.Malformed},
                        {"flows_per_target", Result.FlowsPerTarget},
                        {"imbalance", Result.Imbalance}}
      .dump(2);
}

} // namespace briarpoint
