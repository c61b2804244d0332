// Burn report. See burn_report.h.
#include "process/burn_report.h"
#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <sstream>

namespace aldervale
{

namespace json = boost::json;

namespace
{

constexpr double kBurnShown = 10.0; // burn at which a bar is full

std::string Escape(std::string_view text)
{
    std::string out;
    for (const char c : text)
    {
        if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else if (c == '&')
            out += "&amp;";
        else
            out.push_back(c);
    }
    return out;
}

std::string Number(double x, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << x;
    return out.str();
}

std::string_view Colour(double burn)
{
    if (burn > 2)
        return "#c0392b";
    return burn > 1 ? "#d68910" : "#1e8449";
}

// One bar a window, the line at burn 1 marked.
std::string Plot(const json::array& windows)
{
    constexpr double   kWidth  = 260;
    constexpr double   kHeight = 18;
    std::ostringstream out;
    out << "<svg width=\"" << kWidth + 70 << "\" height=\"" << kHeight * static_cast<double>(windows.size()) << "\" role=\"img\">";
    double y = 0;
    for (const json::value& w : windows)
    {
        const double burn = w.at("burn").to_number<double>();
        const double bar  = std::min(1.0, burn / kBurnShown) * kWidth;
        out << "<text x=\"0\" y=\"" << y + 13 << "\" font-size=\"11\">" << w.at("minutes").to_number<int64_t>() << " min</text>";
        out << "<rect x=\"60\" y=\"" << y + 3 << "\" width=\"" << std::max(1.0, bar) << "\" height=\"12\" fill=\"" << Colour(burn) << "\"/>";
        y += kHeight;
    }
    const double one = 60 + kWidth / kBurnShown;
    out << "<line x1=\"" << one << "\" y1=\"0\" x2=\"" << one << "\" y2=\"" << y << "\" stroke=\"#333\" stroke-dasharray=\"3,2\"/></svg>";
    return out.str();
}

} // namespace

std::string BurnText(const json::value& burn)
{
    std::ostringstream out;
    out << std::left << std::setw(16) << "service" << std::setw(20) << "account" << std::right;
    bool header = false;
    for (const json::value& row : burn.at("rows").as_array())
    {
        if (!header)
            for (const json::value& w : row.at("windows").as_array())
                out << std::setw(10) << (std::to_string(w.at("minutes").to_number<int64_t>()) + "min");
        if (!header)
            out << std::setw(12) << "good" << std::setw(10) << "bad"
                << "\n";
        header = true;
        out << std::left << std::setw(16) << std::string(row.at("service").as_string()) << std::setw(20) << std::string(row.at("account").as_string())
            << std::right;
        for (const json::value& w : row.at("windows").as_array())
            out << std::setw(10) << Number(w.at("burn").to_number<double>(), 2);
        const json::value& longest = row.at("windows").as_array().back();
        out << std::setw(12) << longest.at("good").to_number<uint64_t>() << std::setw(10) << longest.at("bad").to_number<uint64_t>() << "\n";
    }
    if (!header)
        out << "\nno requests yet\n";
    return out.str();
}

std::string BurnHtml(const json::value& burn, std::string_view made_at)
{
    std::ostringstream out;
    out << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>"
           "<style>body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}td,th{padding:.4em .8em;border-bottom:1px solid "
           "#ddd;"
           "text-align:left;vertical-align:top}td.n{text-align:right;font-variant-numeric:tabular-nums}</style>"
           "<h1>Service-level burn</h1><p>Made "
        << Escape(made_at) << " from " << burn.at("routers").to_number<int64_t>()
        << " routers. 1 uses up the allowed share of bad requests exactly (dashed line); bars end at " << kBurnShown << ".</p>"
        << "<table><tr><th>service</th><th>account</th><th>good</th><th>bad</th><th>burn by window</th><th></th></tr>";
    for (const json::value& row : burn.at("rows").as_array())
    {
        const json::array& windows = row.at("windows").as_array();
        out << "<tr><td>" << Escape(std::string_view(row.at("service").as_string())) << "</td><td>"
            << Escape(std::string_view(row.at("account").as_string())) << "</td>";
        out << "<td class=n>" << windows.back().at("good").to_number<uint64_t>() << "</td><td class=n>"
            << windows.back().at("bad").to_number<uint64_t>() << "</td><td>";
        out << Plot(windows) << "</td><td class=n>";
        for (const json::value& w : windows)
            out << Number(w.at("burn").to_number<double>(), 2) << "<br>";
        out << "</td></tr>";
    }
    out << "</table></html>\n";
    return out.str();
}

} // namespace aldervale
