/// @file
/// @brief Exponential smoothing of a mean.
#pragma once

namespace hyssopford {

/// @brief Moves a mean towards a new value.
/// @param Mean the mean; 0 if there is none yet
/// @param Value the new value
/// @param Weight share of the new value, 0 to 1
inline void smooth(double &Mean, double Value, double Weight) {
  Mean = Mean == 0.0 ? Value : Mean + Weight * (Value - Mean);
}

} // namespace hyssopford
