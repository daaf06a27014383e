#include "config/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace briarpoint {

namespace {

/// Returns the Levenshtein distance.
std::size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 0; I < A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J < B.size(); ++J) {
      const std::size_t Substituted = Diagonal + (A[I] == B[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Row[J] + 1, Row[J + 1] + 1, Substituted});
    }
  }
  return Row.back();
}

} // namespace

std::optional<std::string_view> nearestName(std::string_view Name,
                                            const std::vector<std::string_view> &Names) {
  // Longer names aren't similar to any field name. The limit bounds the time that the distance
  // takes.
  constexpr std::size_t MaxLength = 64;
  if (Name.size() > MaxLength)
    return std::nullopt;
  std::optional<std::string_view> Best;
  std::size_t BestDistance = std::max<std::size_t>(2, Name.size() / 3) + 1;
  for (const std::string_view Candidate : Names) {
    const std::size_t Distance = editDistance(Name, Candidate);
    if (Distance < BestDistance) {
      Best = Candidate;
      BestDistance = Distance;
    }
  }
  return Best;
}

} // namespace briarpoint
