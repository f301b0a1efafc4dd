import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run, with times in seconds since its start. */
final class Record {

  private final long startedAt = System.nanoTime();
  private final PrintWriter file;

  Record(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path), true);
  }

  synchronized void line(String text) {
    file.printf("%8.3f %s%n", millis() / 1000.0, text);
  }

  /** Writes a line and prints it too. */
  void say(String text) {
    line(text);
    System.out.println(text);
  }

  /** Returns the time since the start of the run. */
  long millis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }
}
