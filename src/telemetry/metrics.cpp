#include "hyssopford/telemetry/metrics.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <stdexcept>

namespace hyssopford {

namespace {

constexpr bool catalogueIsInOrder() {
  for (std::size_t Index = 0; Index < MetricCount; ++Index) {
    if (static_cast<std::size_t>(MetricCatalogue.at(Index).Id) != Index) {
      return false;
    }
  }
  return true;
}

static_assert(catalogueIsInOrder());

std::vector<std::string_view> labelNames(const MetricDefinition &Metric) {
  std::vector<std::string_view> Result;
  std::string_view Rest = Metric.Labels;
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find(','), Rest.size());
    Result.push_back(Rest.substr(0, End));
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return Result;
}

/// Escapes backslash, quote and line feed as the text format requires.
std::string escapeLabel(std::string_view Value) {
  std::string Result;
  for (const char Each : Value) {
    if (Each == '\n') {
      Result += "\\n";
      continue;
    }
    if (Each == '\\' || Each == '"') {
      Result += '\\';
    }
    Result += Each;
  }
  return Result;
}

std::string formatLabels(const MetricDefinition &Metric,
                         const MetricsRegistry::LabelValues &Values,
                         std::string_view Extra = {}) {
  const std::vector<std::string_view> Names = labelNames(Metric);
  std::string Result;
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    fmt::format_to(std::back_inserter(Result), "{}{}=\"{}\"",
                   Result.empty() ? "" : ",", Names[Index],
                   escapeLabel(Values[Index]));
  }
  if (!Extra.empty()) {
    Result += Result.empty() ? "" : ",";
    Result += Extra;
  }
  return Result.empty() ? Result : fmt::format("{{{}}}", Result);
}

const char *typeName(MetricType Type) {
  constexpr std::array<const char *, 3> Names{"counter", "gauge", "summary"};
  return Names.at(static_cast<std::size_t>(Type));
}

void renderSummary(const MetricDefinition &Metric,
                   const MetricsRegistry::LabelValues &Labels,
                   SummaryMetric &Summary, TimePoint Now, std::string &Out) {
  const std::vector<double> Values = Summary.quantiles(Now);
  for (std::size_t Index = 0; Index < Values.size(); ++Index) {
    const std::string Quantile =
        fmt::format("quantile=\"{}\"", SummaryMetric::Quantiles.at(Index));
    fmt::format_to(std::back_inserter(Out), "{}{} {}\n", Metric.Name,
                   formatLabels(Metric, Labels, Quantile), Values[Index]);
  }
  const std::string Text = formatLabels(Metric, Labels);
  fmt::format_to(std::back_inserter(Out), "{}_sum{} {}\n{}_count{} {}\n",
                 Metric.Name, Text, Summary.sum(), Metric.Name, Text,
                 Summary.count());
}

} // namespace

MetricsRegistry::Series *
MetricsRegistry::findOrAddSeries(MetricId Id, const LabelValues &Labels) {
  const MetricDefinition &Metric = definitionOf(Id);
  Family &Target = Families.at(static_cast<std::size_t>(Id));
  const auto Found = Target.find(Labels);
  if (Found != Target.end()) {
    return &Found->second;
  }
  if (Labels.size() != labelNames(Metric).size()) {
    throw std::invalid_argument(
        fmt::format("metric {}: expected values for the labels \"{}\"",
                    Metric.Name, Metric.Labels));
  }
  if (Target.size() >= MaxSeries) {
    add(MetricId::SeriesDropped);
    return nullptr;
  }
  Series Added;
  if (Metric.Type == MetricType::Summary) {
    Added.Summary = std::make_unique<SummaryMetric>();
  }
  return &Target.emplace(Labels, std::move(Added)).first->second;
}

void MetricsRegistry::add(MetricId Id, const LabelValues &Labels,
                          double Amount) {
  if (Series *Target = findOrAddSeries(Id, Labels)) {
    Target->Value += Amount;
  }
}

void MetricsRegistry::set(MetricId Id, const LabelValues &Labels,
                          double Value) {
  if (Series *Target = findOrAddSeries(Id, Labels)) {
    Target->Value = Value;
  }
}

void MetricsRegistry::observe(MetricId Id, const LabelValues &Labels,
                              double Value, TimePoint Now) {
  Series *Target = findOrAddSeries(Id, Labels);
  if (Target == nullptr) {
    return;
  }
  if (!Target->Summary) {
    throw std::invalid_argument(
        fmt::format("metric {} is not a summary", definitionOf(Id).Name));
  }
  Target->Summary->observe(Value, Now);
}

double MetricsRegistry::value(MetricId Id, const LabelValues &Labels) const {
  const Family &Source = Families.at(static_cast<std::size_t>(Id));
  const auto Found = Source.find(Labels);
  return Found == Source.end() ? 0 : Found->second.Value;
}

std::string MetricsRegistry::render(TimePoint Now) {
  std::string Result;
  for (const MetricDefinition &Metric : MetricCatalogue) {
    Family &Source = Families.at(static_cast<std::size_t>(Metric.Id));
    if (Source.empty()) {
      continue;
    }
    fmt::format_to(std::back_inserter(Result), "# HELP {} {}\n# TYPE {} {}\n",
                   Metric.Name, Metric.Help, Metric.Name,
                   typeName(Metric.Type));
    for (auto &[Labels, Each] : Source) {
      if (Each.Summary) {
        renderSummary(Metric, Labels, *Each.Summary, Now, Result);
      } else {
        fmt::format_to(std::back_inserter(Result), "{}{} {}\n", Metric.Name,
                       formatLabels(Metric, Labels), Each.Value);
      }
    }
  }
  return Result;
}

} // namespace hyssopford
