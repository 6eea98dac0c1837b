package org.carobstage.review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Two clients prepare a statement of the same name with other shapes and run it. Arguments: the
 * port, the file of the record, and 1 if the shapes differ only in a blank and an underscore.
 */
public final class PreparedShapes {
    private PreparedShapes() {}

    public static void main(String[] args) throws Exception {
        int port = Integer.parseInt(args[0]);
        Record record = new Record(args[1]);
        String first = args[2].equals("1") ? "add party" : "drop party";
        String second = "add_party";
        boolean answered = true;
        for (int i = 0; i < 10; i++) {
            try (Session one = new Session("one", port, "filings", record);
                    Session other = new Session("other", port, "filings", record)) {
                answered &= one.query("p" + i, "PREPARE s1 WRITE " + first).startsWith("COMPLETE");
                answered &= other.query("q" + i, "PREPARE s1 WRITE " + second).startsWith("COMPLETE");
                answered &= one.query("one" + i, "EXECUTE s1 k" + i + " a").startsWith("COMPLETE");
                answered &= other.query("other" + i, "EXECUTE s1 m" + i + " b").startsWith("COMPLETE");
            }
        }
        List<String> runs =
                Files.readAllLines(Path.of(args[1]), StandardCharsets.ISO_8859_1).stream()
                        .filter(l -> l.contains(": runs id="))
                        .toList();
        long wrong =
                runs.stream()
                        .filter(l -> l.contains("id=one") && !l.endsWith("shape=[WRITE " + first + "]")
                                || l.contains("id=other")
                                        && !l.endsWith("shape=[WRITE " + second + "]"))
                        .count();
        record.add("check: " + runs.size() + " statements ran, " + wrong + " with the shape of the"
                + " other client, all answered with success: " + answered);
        System.exit(wrong > 0 ? 1 : answered && runs.size() == 20 ? 0 : 2);
    }
}
