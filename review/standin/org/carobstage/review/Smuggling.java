package org.carobstage.review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A client sends one statement whose last field looks like a message of its own. Arguments: the
 * port, the file of the record, and 1 if a line feed without a carriage return stands before it.
 */
public final class Smuggling {
    private Smuggling() {}

    public static void main(String[] args) throws Exception {
        int port = Integer.parseInt(args[0]);
        Record record = new Record(args[1]);
        String separator = args[2].equals("1") ? "\n" : " ";
        String data = "first line" + separator + "QUERY smuggled WRITE case9 closed";
        try (Session client = new Session("one", port, "filings", record)) {
            client.query("sent", "WRITE draft1 " + data);
            client.setTimeout(1_500);
            record.add("client one: then gets [" + client.readAnswer() + "]");
        }
        List<String> runs =
                Files.readAllLines(Path.of(args[1]), StandardCharsets.ISO_8859_1).stream()
                        .filter(l -> l.contains(": runs id="))
                        .toList();
        long unasked = runs.stream().filter(l -> !l.contains("runs id=sent ")).count();
        String escaped = "text=[WRITE draft1 " + data.replace("\n", "\\n") + "]";
        long changed =
                runs.stream().filter(l -> l.contains("runs id=sent ")).filter(l -> !l.endsWith(escaped)).count();
        record.add("check: " + unasked + " statements ran that no client sent, " + changed
                + " ran with a changed text");
        System.exit(unasked + changed > 0 ? 1 : 0);
    }
}
