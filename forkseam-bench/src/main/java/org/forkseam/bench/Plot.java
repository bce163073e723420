package org.forkseam.bench;

import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Draws a bar chart of prompt token reuse by placement and condition. */
final class Plot {
    private static final int WIDTH = 1100;
    private static final int HEIGHT = 520;

    private Plot() {}

    static void write(List<Map<String, Object>> rows, Path file) throws IOException {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title("Prompt tokens reused, share of the ideal")
                        .yAxisTitle("share")
                        .build();
        Map<String, Map<String, Double>> series = new LinkedHashMap<>();
        List<String> cases = new ArrayList<>();
        for (Map<String, Object> r : rows) {
            String at = r.get("deployment") + " " + r.get("condition");
            if (!cases.contains(at)) {
                cases.add(at);
            }
            series.computeIfAbsent((String) r.get("placement"), k -> new LinkedHashMap<>())
                    .put(at, (Double) r.get("reuse_of_ideal"));
        }
        series.forEach(
                (name, values) ->
                        chart.addSeries(
                                name,
                                cases,
                                cases.stream().map(c -> values.getOrDefault(c, 0.0)).toList()));
        VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
    }
}
