package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter sOut;

    private Record() {}

    static synchronized void open(Path folder) throws IOException {
        sOut =
                new PrintWriter(
                        Files.newBufferedWriter(
                                folder.resolve("record.txt"), StandardCharsets.UTF_8),
                        true);
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void line(String format, Object... args) {
        sOut.println(String.format("%8.3f  ", millis() / 1000.0) + String.format(format, args));
    }
}
