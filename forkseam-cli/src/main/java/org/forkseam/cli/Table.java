package org.forkseam.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Prints rows in left-aligned columns. */
final class Table {
    private final List<String[]> mRows = new ArrayList<>();

    Table(String... headers) {
        mRows.add(headers);
    }

    void add(Object... cells) {
        mRows.add(Arrays.stream(cells).map(String::valueOf).toArray(String[]::new));
    }

    void print(PrintStream out) {
        int columns = mRows.get(0).length;
        int[] widths = new int[columns];
        for (String[] r : mRows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], r[i].length());
            }
        }
        for (String[] r : mRows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                line.append(r[i]).append(" ".repeat(widths[i] - r[i].length() + 2));
            }
            out.println(line.toString().stripTrailing());
        }
    }
}
