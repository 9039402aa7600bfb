#include "timelinetemplate.h"

namespace nutmeghinge {

const std::string_view timelineHead = R"HTML(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title>
<style>
body { font: 13px sans-serif; color: #222; background: #fff; margin: 12px; }
table { border-collapse: collapse; margin-top: 8px; }
th { position: sticky; top: 0; background: #eee; text-align: left; }
th, td { border: 1px solid #ddd; padding: 3px 6px; vertical-align: top; }
td.time { white-space: nowrap; font-family: monospace; }
.mark { display: inline-block; margin: 1px 3px 1px 0; padding: 1px 5px; border-left: 5px solid; background: #f7f7f7; }
</style></head><body>
<label>Filter <input id="filter" size="40"></label> <span id="legend"></span>
<table><thead id="head"></thead><tbody id="body"></tbody></table>
<script id="marks" type="application/json">)HTML";

const std::string_view timelineTail = R"HTML(</script>
<script>
"use strict";
const marks = JSON.parse(document.getElementById("marks").textContent);
const groups = [
  ["term", "#6a3d9a", /^Term/], ["lease", "#1f78b4", /^Lease/], ["loss, conflict", "#d7191c", /Lost|Removed|Conflict|Down|Silent|Stale|BadInput/],
  ["grant, handover", "#2e8b57", /^Shard|^Handover|^HotKey/], ["document", "#b8860b", /^Document/],
  ["refused, unknown", "#e4572e", /Refused|Unknown/], ["request", "#888", /^Request|^Duplicate/], ["node, member", "#444", /./]];
const colour = kind => groups.find(group => group[2].test(kind))[1];
const maxSingle = 6, maxLines = 40;
function element(name, text, className) {
  const made = document.createElement(name);
  if (text !== undefined) made.textContent = text;
  if (className) made.className = className;
  return made;
}
function chip(text, title, shade) {
  const made = element("span", text, "mark");
  made.title = title;
  made.style.borderColor = shade;
  return made;
}
const lineOf = mark => mark.l || mark.n + " " + mark.k + " " + mark.c + " in this second";
const labelOf = mark => mark.c ? mark.k + " \u00d7" + mark.c
  : mark.k + (/ (shard|document|request) \d+/.exec(mark.l.split(": ")[0]) || [""])[0];
function addChips(cell, list) {
  const kinds = new Map();
  for (const mark of list) kinds.set(mark.k, (kinds.get(mark.k) || []).concat([mark]));
  for (const [kind, same] of kinds) {
    if (same.length > maxSingle) {
      const more = same.length > maxLines ? "\n... " + (same.length - maxLines) + " more" : "";
      cell.append(chip(kind + " \u00d7" + same.length, same.slice(0, maxLines).map(lineOf).join("\n") + more, colour(kind)));
    } else {
      for (const mark of same) cell.append(chip(labelOf(mark), lineOf(mark), colour(kind)));
    }
  }
}
const nodes = [...new Set(marks.map(mark => mark.n))].sort();
function draw() {
  const wanted = document.getElementById("filter").value.toLowerCase();
  const rows = new Map();
  for (const mark of marks) {
    if (!lineOf(mark).toLowerCase().includes(wanted)) continue;
    const second = Math.floor(mark.t / 1000);
    if (!rows.has(second)) rows.set(second, new Map());
    const row = rows.get(second);
    if (!row.has(mark.n)) row.set(mark.n, []);
    row.get(mark.n).push(mark);
  }
  const body = document.getElementById("body");
  body.replaceChildren();
  for (const second of [...rows.keys()].sort((left, right) => left - right)) {
    const line = element("tr");
    line.append(element("td", new Date(second * 1000).toISOString().slice(0, 19) + "Z", "time"));
    for (const node of nodes) {
      const cell = element("td");
      addChips(cell, rows.get(second).get(node) || []);
      line.append(cell);
    }
    body.append(line);
  }
  if (rows.size === 0) body.append(element("tr", "No records."));
}
const head = element("tr");
head.append(element("th", "time (UTC)"));
for (const node of nodes) head.append(element("th", node));
document.getElementById("head").append(head);
for (const group of groups) document.getElementById("legend").append(chip(group[0], group[0], group[1]));
document.getElementById("filter").addEventListener("input", draw);
draw();
</script></body></html>
)HTML";

} // namespace nutmeghinge
