package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt. */
final class Record implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(String folder) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
    }

    synchronized void add(String text) {
        String line = String.format("%8.3f s  %s", (System.nanoTime() - mStart) / 1e9, text);
        mOut.println(line);
    }

    @Override
    public void close() {
        mOut.close();
    }
}
