#include "timeline/render.h"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/time.h"

namespace gentianlb::timeline {
namespace {

// Kinds that belong together, with a colour that is legible on light and dark.
struct Group {
  std::string_view prefix;
  std::string_view label;
  std::string_view colour;
};

constexpr std::array<Group, 10> kGroups = {{
    {"request-refused", "refused", "#d9480f"},
    {"request-cancelled", "cancelled", "#d9480f"},
    {"request-answered", "answered", "#2f9e44"},
    {"request-", "request", "#1c7ed6"},
    {"host-", "host", "#ae3ec9"},
    {"server-", "server", "#e8890c"},
    {"role-", "role", "#0ca678"},
    {"configuration-", "configuration", "#7048e8"},
    {"order-", "order", "#c2255c"},
    {"p", "power, platform", "#868e96"},
}};

constexpr int kLaneHeight = 44;
constexpr int kTop = 34;
constexpr int kLeft = 150;
constexpr int kRight = 30;
constexpr int kWidth = 1400;
constexpr int kMaxTicks = 10;
constexpr int kDot = 5;

// Dots of one lane closer than this are put in rows above each other.
constexpr int kDotGap = 9;
constexpr int kRows = 3;

constexpr std::string_view kHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>gentianlb time line</title>
<style>
:root { color-scheme: light dark; --line: #8886; --soft: #8882; }
body { font: 14px/1.45 system-ui, sans-serif; margin: 1.2rem; }
figure { margin: 0; overflow-x: auto; }
svg { min-width: 900px; width: 100%; height: auto; }
svg text { fill: currentColor; font: 12px system-ui, sans-serif; }
.lane { stroke: var(--line); } .tick { stroke: var(--soft); }
.link { stroke: var(--line); fill: none; }
circle:hover { stroke: currentColor; stroke-width: 2; }
.key { display: inline-block; margin: 0 1rem .6rem 0; }
.key i { display: inline-block; width: .8em; height: .8em; border-radius: 50%;
         margin-right: .4em; }
table { border-collapse: collapse; margin-top: 1rem; width: 100%; }
th, td { text-align: left; padding: .15rem .8rem .15rem 0; vertical-align: top;
         border-bottom: 1px solid var(--soft); }
td:first-child { font-variant-numeric: tabular-nums; white-space: nowrap; }
td:last-child { word-break: break-word; }
</style></head><body>
<h1>Time line</h1>
)";

const Group& GroupOf(EventKind kind) {
  std::string_view name = KindName(kind);
  for (const Group& group : kGroups) {
    if (name.starts_with(group.prefix)) return group;
  }
  return kGroups.back();
}

std::string TimeOfDay(std::int64_t micros) {
  absl::Time time = absl::FromUnixMicros(micros);
  return absl::FormatTime("%H:%M:%E6S", time, absl::UTCTimeZone());
}

// Subjects and details hold what callers sent; unescaped, one could run a
// script in the browser of an operator.
std::string Escape(std::string_view text) {
  std::string safe;
  for (char c : text) {
    switch (c) {
      case '&':
        safe += "&amp;";
        break;
      case '<':
        safe += "&lt;";
        break;
      case '>':
        safe += "&gt;";
        break;
      case '"':
        safe += "&quot;";
        break;
      default:
        safe += c;
    }
  }
  return safe;
}

// A line of text must stay one line, whatever a caller put into a key.
std::string OneLine(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return static_cast<unsigned char>(c) < ' '; }, '?');
  return text;
}

struct Point {
  double x;
  double y;
};

// Draws the picture of one merged time line.
class Picture {
 public:
  explicit Picture(const std::vector<Event>& events) : events_(events) {
    for (const Event& event : events) lanes_.emplace(event.host, 0);
    int lane = 0;
    for (auto& [host, number] : lanes_) number = lane++;
    first_ = events.front().stamp.micros;
    span_ = std::max<std::int64_t>(1, events.back().stamp.micros - first_);
    height_ = kTop + kLaneHeight * lane + 10;
  }

  std::string Draw() {
    std::string svg = absl::StrFormat(
        "<svg viewBox=\"0 0 %d %d\" role=\"img\" "
        "aria-label=\"Events by host and time\">\n",
        kWidth, height_);
    Place();
    absl::StrAppend(&svg, Ticks(), Lanes(), Links(), Dots(), "</svg>\n");
    return svg;
  }

 private:
  double X(std::int64_t micros) const {
    double part =
        static_cast<double>(micros - first_) / static_cast<double>(span_);
    return kLeft + part * (kWidth - kLeft - kRight);
  }

  double LaneY(int lane) const {
    return kTop + kLaneHeight * lane + kLaneHeight / 2.0;
  }

  // Events that would cover each other get rows of their own in their lane.
  void Place() {
    std::map<EntryHostId, std::array<double, kRows>> ends;
    for (const Event& event : events_) {
      auto& rows = ends.try_emplace(event.host).first->second;
      double x = X(event.stamp.micros);
      auto free = std::find_if(rows.begin(), rows.end(),
                               [x](double end) { return end <= x; });
      if (free == rows.end()) free = std::min_element(rows.begin(), rows.end());
      *free = x + kDotGap;
      double row = static_cast<double>(free - rows.begin()) - (kRows - 1) / 2.0;
      points_.push_back({x, LaneY(lanes_.at(event.host)) + row * (kDot * 2)});
    }
  }

  // At round steps, so that a reader need not add up odd figures.
  std::string Ticks() const {
    std::string svg;
    std::int64_t step = TickStep();
    for (std::int64_t offset = 0; offset <= span_; offset += step) {
      double x = X(first_ + offset);
      absl::StrAppendFormat(&svg,
                            "<line class=\"tick\" x1=\"%.1f\" x2=\"%.1f\" "
                            "y1=\"%d\" y2=\"%d\"/><text x=\"%.1f\" y=\"18\" "
                            "text-anchor=\"middle\">+%s</text>\n",
                            x, x, kTop - 8, height_, x,
                            absl::FormatDuration(absl::Microseconds(offset)));
    }
    return svg;
  }

  // The smallest of 1, 2 and 5 times a power of ten that needs few ticks.
  std::int64_t TickStep() const {
    for (std::int64_t power = 1;; power *= 10) {
      for (std::int64_t digit : {1, 2, 5}) {
        if (span_ / (digit * power) <= kMaxTicks) return digit * power;
      }
    }
  }

  std::string Lanes() const {
    std::string svg;
    for (const auto& [host, lane] : lanes_) {
      absl::StrAppendFormat(
          &svg,
          "<line class=\"lane\" x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\"/>"
          "<text x=\"4\" y=\"%.1f\">%s</text>\n",
          kLeft, kWidth - kRight, LaneY(lane), LaneY(lane), LaneY(lane) + 4,
          Escape(host.str()));
    }
    return svg;
  }

  // From each event to the next of the same subject, where it moved to another
  // host.
  std::string Links() const {
    std::string svg;
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < events_.size(); ++i) {
      const std::string& subject = events_[i].subject;
      if (subject.empty()) continue;
      auto [before, fresh] = last.emplace(subject, i);
      std::size_t from = before->second;
      before->second = i;
      if (fresh || events_[from].host == events_[i].host) continue;
      absl::StrAppendFormat(
          &svg, "<path class=\"link\" d=\"M%.1f %.1fL%.1f %.1f\"/>\n",
          points_[from].x, points_[from].y, points_[i].x, points_[i].y);
    }
    return svg;
  }

  std::string Dots() const {
    std::string svg;
    for (std::size_t i = 0; i < events_.size(); ++i) {
      const Event& event = events_[i];
      absl::StrAppendFormat(
          &svg,
          "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"%d\" fill=\"%s\"><title>"
          "%s %s %s %s\n%s</title></circle>\n",
          points_[i].x, points_[i].y, kDot,
          std::string(GroupOf(event.kind).colour),
          TimeOfDay(event.stamp.micros), Escape(event.host.str()),
          std::string(KindName(event.kind)), Escape(event.subject),
          Escape(event.detail));
    }
    return svg;
  }

  const std::vector<Event>& events_;
  std::map<EntryHostId, int> lanes_;
  std::vector<Point> points_;  // Of each event.
  std::int64_t first_ = 0;
  std::int64_t span_ = 1;
  int height_ = 0;
};

// Only groups that occur.
std::string Legend(const std::vector<Event>& events) {
  std::map<std::string_view, std::string_view> colours;
  for (const Event& event : events) {
    const Group& group = GroupOf(event.kind);
    colours.emplace(group.label, group.colour);
  }
  std::string html = "<p>";
  for (const auto& [label, colour] : colours) {
    absl::StrAppend(&html, "<span class=\"key\"><i style=\"background:",
                    std::string(colour), "\"></i>", std::string(label),
                    "</span>");
  }
  return html + "</p>\n";
}

std::string Table(const std::vector<Event>& events) {
  std::string html =
      "<table><thead><tr><th>time (UTC)</th><th>host</th><th>kind</th>"
      "<th>subject</th><th>detail</th></tr></thead><tbody>\n";
  for (const Event& event : events) {
    absl::StrAppend(
        &html, "<tr><td>", TimeOfDay(event.stamp.micros), "</td><td>",
        Escape(event.host.str()),
        "</td><td style=\"color:", std::string(GroupOf(event.kind).colour),
        "\">", std::string(KindName(event.kind)), "</td><td>",
        Escape(event.subject), "</td><td>", Escape(event.detail),
        "</td></tr>\n");
  }
  return html + "</tbody></table>\n";
}

}  // namespace

std::string RenderText(const std::vector<Event>& events) {
  std::size_t host_width = 0;
  for (const Event& event : events) {
    host_width = std::max(host_width, event.host.str().size());
  }
  std::string text;
  for (const Event& event : events) {
    absl::StrAppendFormat(
        &text, "%s %-*s %-22s %s%s%s\n", TimeOfDay(event.stamp.micros),
        static_cast<int>(host_width), event.host.str(),
        std::string(KindName(event.kind)), OneLine(event.subject),
        event.detail.empty() ? "" : " ", OneLine(event.detail));
  }
  return text;
}

std::string RenderHtml(const std::vector<Event>& events) {
  std::string html(kHead);
  if (events.empty()) return html + "<p>No events.</p></body></html>\n";
  absl::Time first = absl::FromUnixMicros(events.front().stamp.micros);
  absl::StrAppend(
      &html, "<p>", events.size(), " events from ",
      absl::FormatTime("%Y-%m-%d %H:%M:%E3S UTC", first, absl::UTCTimeZone()),
      "</p>\n", Legend(events), "<figure>\n", Picture(events).Draw(),
      "</figure>\n", Table(events), "</body></html>\n");
  return html;
}

}  // namespace gentianlb::timeline
