#include "radishbench/report.h"

#include <algorithm>
#include <sstream>

namespace radishladder::radishbench {
namespace {
constexpr double kWidth = 900;
constexpr double kPanelHeight = 160;
constexpr double kMargin = 60;
constexpr double kGap = 30;
constexpr double kMillisecondsPerSecond = 1000;

//! One curve in a panel of its own.
struct Panel
{
    const char *series;
    const char *title;
    const char *colour;

    //! Factor from a bin to the unit of the title.
    double scale = 1;
};

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char c : text) {
        safe += c == '<' ? "&lt;" : c == '>' ? "&gt;" : c == '&' ? "&amp;" : std::string(1, c);
    }
    return safe;
}

class Plot
{
public:
    explicit Plot(const Json::Value &result)
        : series(result["series"]), binMs(this->series["bin_ms"].asDouble())
    {
        this->bins = this->series["answered_requests"].size();
    }

    void addPanel(std::ostream &stream, const Panel &panel, int row) const
    {
        const double top = kMargin + row * (kPanelHeight + kGap);
        double most = 1;
        for (const Json::Value &value : this->series[panel.series]) {
            most = std::max(most, value.asDouble() * panel.scale);
        }
        stream << "<text x='" << kMargin << "' y='" << top - 6 << "'>" << panel.title << " (top "
               << most << ")</text>\n<rect x='" << kMargin << "' y='" << top << "' width='"
               << kWidth << "' height='" << kPanelHeight
               << "' fill='none' stroke='#999'/>\n<polyline fill='none' stroke='" << panel.colour
               << "' points='";
        for (Json::ArrayIndex i = 0; i < this->series[panel.series].size(); ++i) {
            const double share = this->series[panel.series][i].asDouble() * panel.scale / most;
            stream << this->xAt(this->binMs * (i + 1)) << ',' << top + kPanelHeight * (1 - share)
                   << ' ';
        }
        stream << "'/>\n";
    }

    void addFaults(std::ostream &stream, double bottom) const
    {
        int row = 0;
        for (const Json::Value &event : this->series["events"]) {
            const std::string kind = event["event"].asString();
            if (kind == "accepted") {
                continue;
            }
            const double x = this->xAt(event["ms"].asDouble());
            const std::string label =
                (kind == "fault" ? "" : kind + " ") + event["subject"].asString();
            stream << "<line x1='" << x << "' x2='" << x << "' y1='" << kMargin << "' y2='"
                   << bottom << "' stroke='#c60' stroke-dasharray='3 3'/>\n<text x='" << x + 3
                   << "' y='" << bottom + 14 + 12 * (row++ % 8) << "' fill='#c60'>"
                   << escaped(label) << "</text>\n";
        }
    }

private:
    double xAt(double milliseconds) const
    {
        const double whole = std::max(1.0, this->binMs * static_cast<double>(this->bins));
        return kMargin + kWidth * std::min(1.0, milliseconds / whole);
    }

    const Json::Value &series;
    double binMs;
    std::size_t bins = 0;
};
}

std::string plotName(const Json::Value &result)
{
    return result["scenario"].asString() + "-" + result["deployment"].asString() + "-"
        + result["flow_mechanism"].asString() + "-" + result["request_mechanism"].asString() + "-"
        + result["seed"].asString() + ".svg";
}

std::string resultPlot(const Json::Value &result)
{
    const double perSecond = kMillisecondsPerSecond / result["series"]["bin_ms"].asDouble();
    const Panel panels[] = {
        {"answered_requests", "requests answered a second", "#06c", perSecond},
        {"answered_packets", "packets of flows answered a second", "#083", perSecond},
        {"lost_flows", "flows lost in 250 ms, given up ones included", "#c00"},
    };
    const double bottom = kMargin + std::size(panels) * (kPanelHeight + kGap) - kGap;
    std::ostringstream stream;
    stream << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth + 2 * kMargin
           << "' height='" << bottom + 120
           << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' "
              "fill='white'/>\n<text x='"
           << kMargin << "' y='24' font-size='14'>" << escaped(runCommandText(result))
           << "</text>\n";
    const Plot plot(result);
    int row = 0;
    for (const Panel &panel : panels) {
        plot.addPanel(stream, panel, row++);
    }
    plot.addFaults(stream, bottom);
    stream << "</svg>\n";
    return stream.str();
}
}
