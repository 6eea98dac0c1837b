package org.carobstage.config;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.StringReader;
import java.util.List;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.GroupId;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.ini4j.Ini;
import org.ini4j.Profile.Section;

/** Parses a group in INI format. */
public final class GroupReader {
    private static final String INSTANCE_PREFIX = "instance ";

    private GroupReader() {}

    /**
     * Parses a group.
     *
     * @param text the INI text
     * @return the group
     * @throws CodedException if the text is not a valid group
     */
    public static GroupSpec read(String text) {
        requireNonNull(text, "text is null");
        try {
            Ini ini = new Ini(new StringReader(text));
            Section group = requireNonNull(ini.get("group"), "section is missing: group");
            List<InstanceSpec> instances =
                    ini.values().stream()
                            .filter(section -> section.getName().startsWith(INSTANCE_PREFIX))
                            .map(GroupReader::instance)
                            .toList();
            return new GroupSpec(
                    GroupId.of(group.get("id")),
                    Integer.parseInt(group.get("slots")),
                    Integer.parseInt(group.get("connections")),
                    instances);
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, e.getMessage(), e);
        }
    }

    private static InstanceSpec instance(Section section) {
        String name = section.getName().substring(INSTANCE_PREFIX.length()).trim();
        return new InstanceSpec(
                InstanceId.of(name),
                Address.parse(section.get("address")),
                FailureDomain.of(section.get("domain")));
    }
}
